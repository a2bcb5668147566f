"""Weights of a route change, then one balancer is restarted by plan, while
clients pause on their open flows."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

from platform_side import Client, Operator, Router, Target  # noqa: E402
from play import CannotRun, main, with_trouble  # noqa: E402
from system import PACKETS, System, configuration, route  # noqa: E402

SERVICES = ("hiraman", "katalogo")
TARGETS = {
    "hiraman": ("quezon", "quezon", "quezon", "pasig", "pasig", "makati", "makati"),
    "katalogo": ("quezon", "pasig", "makati"),
}
FEED, HOLD = ("198.18.0.1", 8443), ("198.18.0.1", 8080)
FLOWS = 30
DEADLINE_S = 2.5
# Between an answer on a flow and the client's next request; a flow may be
# discarded once it was idle for 15 s.
PAUSE_S = 11.0


def weights(version: int, hiraman: int, katalogo: int) -> dict:
    backends = [
        {"service": "hiraman", "weight": hiraman},
        {"service": "katalogo", "weight": katalogo},
    ]
    return configuration(version, SERVICES, [
        route("feed", FEED, "safe", backends=backends),
        route("hold", HOLD, "non_idempotent", service="hiraman"),
    ])  # fmt: skip


async def play(folder, record) -> list[str]:
    system = System(folder, TARGETS)
    system.prepare()
    targets = [
        Target(f"i-{service}-{n}", service, side, record)
        for service, sides in system.sides.items()
        for n, side in enumerate(sides)
    ]
    watch = []
    try:
        await system.start()
        for target in targets:
            await target.start()
        operator = Operator(system, record)
        if not await operator.replace(weights(3, 90, 10)):
            raise CannotRun("the first configuration is not acknowledged")
        system.forget_bootstrap()
        router = Router(system, record)
        watch = router.start()
        client = Client(f"{system.prefix}.200", "quezon", router, record)
        await client.start()
        await asyncio.sleep(10.0)
        return await judge(system, operator, router, client, targets, record)
    finally:
        for task in watch:
            task.cancel()
        for target in targets:
            target.crash()
        await system.stop()


async def judge(system, operator, router, client, targets, record) -> list[str]:
    async def first(flow):
        if await flow.open():
            return await flow.request(f"first-{flow.local[1]}", DEADLINE_S)
        return "not open"

    flows = [client.flow(FEED) for _ in range(FLOWS)]
    got = await asyncio.gather(*(first(e) for e in flows))
    begun = record.now()
    served = [f for f, e in zip(flows, got) if e == "answered"]
    record(f"{len(served)} of {FLOWS} flows are open and answered")
    if len(served) < FLOWS * 0.9:
        raise CannotRun(f"flows did not open: {got}")

    if not await operator.replace(weights(5, 10, 90)):
        raise CannotRun("the change of the weights is not acknowledged")
    await asyncio.sleep(1.0)
    node = next(e for e in system.edges if e.zone == "quezon" and e not in system.control)
    if with_trouble():
        record(f"planned restart of {node.name}")
        await node.restart_by_plan()
        record(f"{node.name} runs again")
    await asyncio.sleep(max(0.0, begun + PAUSE_S - record.now()))
    if not router.is_in(node):
        raise CannotRun(f"{node.name} is not back in rotation")

    async def second(flow):
        return await flow.request(f"second-{flow.local[1]}", DEADLINE_S)

    results = await asyncio.gather(*(second(e) for e in served))
    alive = {e.name for e in targets if e.is_alive}
    broken = [
        f"flow {f.local[1]} to {f.target}, which lives, was reset by the system"
        for f, e in zip(served, results)
        if e == "reset" and f.target in alive
    ]
    foreign = client.foreign + [e for t in targets for e in t.foreign]
    record(f"second requests: { {e: results.count(e) for e in set(results)} }")
    return broken + [f"foreign packet: {e}" for e in foreign]


if __name__ == "__main__":
    main(HERE, play)
