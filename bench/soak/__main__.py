"""Real processes under faults, drawn from seeds; checks the promises.

    python3 bench/soak [--seed N] [--runs N] [--duration SECONDS] [--jobs N]
    python3 bench/soak --runs 0 --schedule FILE...

Starts control hosts, balancers and agents of the programs in --programs, with
upstreams, a fabric and callers of the project's own, all on loopback, and a
proxy for each connection to a control host. Ends with 1 if a promise did not
hold; the folder of logs and the schedule are kept then, and named.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import shutil
import sys
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

import schedule
from deployment import Settings
from run import Run

BUILD = Path("build/release")
MOST_SHOWN = 20
# Where a schedule strikes one of them.
PACKET_AGENTS = 3

log = logging.getLogger("soak")


@dataclass(frozen=True)
class Task:
    """A run to be made: of a file of events, or of what a seed draws."""

    number: int
    seed: int = 0
    file: Path | None = None

    @property
    def name(self) -> str:
        return str(self.file) if self.file else f"seed {self.seed}"


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="soak", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )  # fmt: skip
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--runs", type=int, default=1, help="seeds played")
    parser.add_argument("--duration", type=float, default=40.0, metavar="S")
    parser.add_argument(
        "--schedule", type=Path, nargs="+", default=[],
        help="files of events, played beside the seeds",
    )  # fmt: skip
    parser.add_argument("--jobs", type=int, default=1, help="runs at once")
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--balancers", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument(
        "--programs", type=Path, default=BUILD / "bin",
        help="the folder of crowlinkd; an older one may be named",
    )  # fmt: skip
    parser.add_argument(
        "--log-level", default="info", choices=("debug", "info", "warning"),
        help="of the programs",
    )  # fmt: skip
    parser.add_argument(
        "--packets", action="store_true",
        help="adds agents of flow packets, which seeds strike as well",
    )  # fmt: skip
    parser.add_argument("--keep", action="store_true", help="keep all logs")
    return parser.parse_args()


async def play(settings: Settings, arguments: argparse.Namespace, task: Task) -> bool:
    """Whether everything held."""
    folder = Path(tempfile.mkdtemp(prefix="crowlink-soak-"))
    events = schedule.read(task.file) if task.file else []
    if arguments.packets or any(e.target.startswith("packet-") for e in events):
        settings = replace(settings, packet_agents=PACKET_AGENTS)
    run = Run(settings, folder, task.number)
    if not task.file:
        events = schedule.drawn(
            task.seed, run.hosts, arguments.duration, arguments.packets
        )
    violations = await run.play(events)
    log.info("%s: %s", task.name, "broken" if violations else "holds")
    for violation in violations[:MOST_SHOWN]:
        log.info("  %s", violation)
    if violations or arguments.keep:
        log.info("  logs and schedule: %s", folder)
    else:
        shutil.rmtree(folder)
    return not violations


async def play_all(settings: Settings, arguments: argparse.Namespace) -> int:
    """Yields the number of runs in which something did not hold."""
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    tasks = [Task(n, file=file) for n, file in enumerate(arguments.schedule)]
    tasks += [Task(len(tasks) + n, seed) for n, seed in enumerate(seeds)]
    room = asyncio.Semaphore(arguments.jobs)

    async def play_in_turn(task: Task) -> bool:
        async with room:
            return await play(settings, arguments, task)

    held = await asyncio.gather(*map(play_in_turn, tasks))
    log.info("%d passed, %d failed", sum(held), len(held) - sum(held))
    return len(held) - sum(held)


def main() -> int:
    arguments = read_arguments()
    logging.basicConfig(format="%(message)s", level=logging.INFO)
    settings = Settings(
        arguments.programs.resolve(), (BUILD / "bin").resolve(),
        arguments.controls, arguments.balancers, arguments.agents,
        arguments.log_level,
    )  # fmt: skip
    return 1 if asyncio.run(play_all(settings, arguments)) else 0


if __name__ == "__main__":
    sys.exit(main())
