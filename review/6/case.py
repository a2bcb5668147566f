"""A configuration with many routes sends them all to another service, and one
machine handles requests by the new version, then by the old one, and so on."""

from __future__ import annotations

import asyncio
import random
import sys
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

from packets import RST, SYN  # noqa: E402
from platform_side import SEQ, Client, Operator, Router, Target  # noqa: E402
from play import CannotRun, main, with_trouble  # noqa: E402
from system import System, configuration, route  # noqa: E402

TARGETS = {
    "hiraman": ("quezon", "quezon", "quezon", "pasig", "pasig", "makati", "makati"),
    "katalogo": ("quezon", "pasig", "makati"),
}
OLD, NEW = "hiraman", "katalogo"
IDLE_ROUTES = 110
GROWN_BY = 1640 if with_trouble() else 0
ROUTES = IDLE_ROUTES + GROWN_BY
ROLLBACK_SLACK_S = 0.25
# Between two flows that are sent directly to one node.
GAP_S = 0.025
WATCHED_S = 4.0


@dataclass(frozen=True)
class Seen:
    sent_at: float
    known_at: float
    service: str


class OneNode:
    """Flows that are sent directly to a node."""

    def __init__(self, node):
        self._node = node

    def pick(self, _zone, _flow):
        return self._node


def address(number: int) -> tuple[str, int]:
    return f"198.20.{number // 250}.{number % 250 + 1}", 8443


def content(version: int, service: str) -> dict:
    routes = [
        route("feed", ("198.18.0.1", 8443), "safe", service="hiraman"),
        route("sheet", ("198.18.0.2", 8443), "download", service="katalogo"),
    ]
    for number in range(ROUTES):
        routes.append(route(f"r-{number}", address(number), "safe", service=service))
    return configuration(version, tuple(TARGETS), routes)


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
            target.work_s = 0.005
            await target.start()
        operator = Operator(system, record)
        if not await operator.replace(content(3, OLD)):
            raise CannotRun("the first configuration is not acknowledged")
        system.forget_bootstrap()
        router = Router(system, record)
        watch = router.start()
        await asyncio.sleep(12.0)
        return await judge(system, operator, router, record)
    finally:
        for task in watch:
            task.cancel()
        for target in targets:
            target.crash()
        await system.stop()


async def judge(system, operator, router, record) -> list[str]:
    source = random.Random(7)
    seen: dict[str, list[Seen]] = {e.name: [] for e in system.edges}
    until = record.now() + 1.0 + WATCHED_S

    async def one(client, found) -> None:
        flow = client.flow(address(source.randrange(ROUTES)))
        sent_at = record.now()
        flow.send(SYN, ack=0)
        got = await flow._next(0.5)
        if got is None or got.flags & RST:
            return
        flow.seq, flow.ack, flow.is_open = flow.seq + 1, (got.seq + 1) % SEQ, True
        if await flow.request(f"q-{flow.local}", 1.0) == "answered":
            found.append(Seen(sent_at, record.now(), flow.target.split("-")[1]))

    async def probe(node, number) -> None:
        client = Client(f"{system.prefix}.{200 + number}", node.zone, OneNode(node), record)
        await client.start()
        flows = []
        while record.now() < until:
            flows.append(asyncio.ensure_future(one(client, seen[node.name])))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*flows)

    probes = [
        asyncio.ensure_future(probe(e, n))
        for n, e in enumerate(system.edges) if router.is_in(e)
    ]  # fmt: skip
    await asyncio.sleep(1.0)
    taken = await operator.replace(content(5, NEW))
    record(f"version 5 is acknowledged: {taken}")
    await asyncio.gather(*probes)
    if not taken or len(probes) < len(system.edges):
        raise CannotRun("a node is not ready, or the change is not acknowledged")

    broken = []
    for name, found in seen.items():
        new = [e.known_at for e in found if e.service == NEW]
        if not new or len(found) < 20:
            raise CannotRun(f"{name}: only {len(found)} flows, {len(new)} by version 5")
        late = [e.sent_at - min(new) for e in found if e.service == OLD]
        latest = max(late, default=0.0)
        count = sum(e > ROLLBACK_SLACK_S for e in late)
        record(
            f"{name}: {len(found)} flows; {NEW} first answered at {min(new):.3f}, "
            f"{OLD} took one that was sent {latest * 1000:.0f} ms later, {count} "
            f"were sent more than {ROLLBACK_SLACK_S * 1000:.0f} ms later"
        )
        if count:
            broken.append(
                f"{name}: {count} requests sent up to {latest * 1000:.0f} ms after "
                f"version 5 was seen there were run by {OLD}"
            )
    return broken


if __name__ == "__main__":
    main(HERE, play)
