"""First start of a whole deployment whose seeds name a machine without a disk."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

from platform_side import Operator, Router, Target, call  # noqa: E402
from play import main, with_trouble  # noqa: E402
from system import CONTROL, System, configuration, route  # noqa: E402

TARGETS = {
    "hiraman": ("quezon", "quezon", "quezon", "pasig", "pasig", "makati", "makati"),
    "katalogo": ("quezon", "pasig", "makati"),
}
FEED, HOLD = ("198.18.0.1", 8443), ("198.18.0.1", 8080)
# The first configuration is sent again until then; the gate asks for 5 s.
LONGEST_S = 40.0


async def play(folder, record) -> list[str]:
    system = System(folder, TARGETS)
    with_disk = system.core
    seeds = with_disk
    if with_trouble():
        relay = next(e for e in system.control if not e.has_disk)
        seeds = [relay, *with_disk[1:]]
    record("seeds: " + ", ".join(e.name for e in seeds))
    system.prepare(seeds)
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
        router = Router(system, record)
        watch = router.start()
        operator = Operator(system, record)
        content = configuration(3, tuple(TARGETS), [
            route("feed", FEED, "safe", service="hiraman"),
            route("hold", HOLD, "non_idempotent", service="hiraman"),
        ])  # fmt: skip
        taken = await operator.replace(content, LONGEST_S)
        await asyncio.sleep(2.0)
        ready = [e.name for e in system.edges if router.is_in(e)]
        record(f"in rotation: {ready}; ended alone: {system.ended_alone()}")
        if taken:
            return []
        return [
            f"no node acknowledged the first configuration in {LONGEST_S:.0f} s, "
            f"and {len(ready)} of {len(system.edges)} nodes are ready"
        ]
    finally:
        for task in watch:
            task.cancel()
        for target in targets:
            target.crash()
        await system.stop()


if __name__ == "__main__":
    main(HERE, play)
