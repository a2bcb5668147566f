"""Real processes under faults, drawn from a seed; checks the promises.

    python3 bench/soak [--seed N] [--runs N] [--duration SECONDS]
    python3 bench/soak --schedule bench/soak/schedules/NAME.json

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
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import schedule
from checks import Checker, Violation
from deployment import Deployment
from faults import Injector
from process import RunLog

BUILD = Path("build/release")
LONG_FLOWS = 48
LONG_GAP_MS = 400
# A caller resends each 200 ms: 8 s without an answer are a failure.
TRIES = 40
SHORT_FLOWS = 12
SHORT_MESSAGES = 3
SHORT_GAP_MS = 100
# What the last faults have left behind may show itself for so long after them.
CALM_S = 5.0
# Until new flows settle and every agent has a home.
WARM_UP_S = 4.0
LONGEST_STOP_S = 10.0

log = logging.getLogger("soak")


@dataclass(frozen=True)
class Settings:
    """What a run is made of, apart from its events."""

    programs: Path
    tools: Path
    duration_s: float
    controls: int
    agents: int
    log_level: str


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="soak", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )  # fmt: skip
    parser.add_argument("--seed", type=int, default=1, help="of the first run")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--duration", type=float, default=40.0, metavar="S")
    parser.add_argument("--schedule", type=Path, help="a file of events")
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument(
        "--programs", type=Path, default=BUILD / "bin",
        help="the folder of crowlinkd; an older one may be named",
    )  # fmt: skip
    parser.add_argument(
        "--log-level", default="info", choices=("debug", "info", "warning"),
        help="of the programs",
    )  # fmt: skip
    parser.add_argument("--keep", action="store_true", help="keep all logs")
    return parser.parse_args()


async def call_new_flows(system: Deployment, ending: asyncio.Event) -> None:
    """Opens short flows, one batch after the other."""
    batch = 0
    while not ending.is_set():
        batch += 1
        callers = system.callers(
            f"short-{batch}", SHORT_FLOWS, SHORT_MESSAGES, SHORT_GAP_MS, TRIES
        )
        await callers.start()
        await callers.finished()


async def watch_processes(system: Deployment, checker: Checker) -> None:
    """Notes processes that end without having been asked to."""
    while True:
        for process in system.processes.values():
            if process.is_wanted and not process.is_running:
                checker.ended_alone(process.name, process.exit_status)
                process.is_wanted = False
        await asyncio.sleep(0.2)


async def play(
    settings: Settings, folder: Path, seed: int, file: Path | None
) -> list[Violation]:
    checker = Checker()
    run_log = RunLog(folder / "run.log", checker.read)
    system = Deployment(
        settings.programs, settings.tools, folder, run_log,
        controls=settings.controls, agents=settings.agents,
        log_level=settings.log_level,
    )  # fmt: skip
    events = (
        schedule.read(file)
        if file
        else schedule.drawn(seed, system.hosts, settings.duration_s)
    )
    (folder / "schedule.json").write_text(schedule.written(events))
    watching = None
    try:
        await system.start()
        watching = asyncio.ensure_future(watch_processes(system, checker))
        await asyncio.sleep(WARM_UP_S)
        await play_events(system, run_log, events)
    finally:
        if watching is not None:
            watching.cancel()
        statuses = await system.stop(signal.SIGTERM, LONGEST_STOP_S)
        run_log.close()
    daemons = sum(vars(system.hosts).values(), ())
    for name in daemons:
        checker.ended(name, statuses[name])
    return checker.violations


async def play_events(
    system: Deployment, run_log: RunLog, events: list[schedule.Event]
) -> None:
    last_s = max((event.end_s for event in events), default=0.0)
    messages = int((last_s + CALM_S) * 1000 / LONG_GAP_MS)
    long_flows = system.callers(
        "long", LONG_FLOWS, messages, LONG_GAP_MS, TRIES
    )
    await long_flows.start()
    ending = asyncio.Event()
    new_flows = asyncio.ensure_future(call_new_flows(system, ending))
    await Injector(system, run_log).play(events)
    await long_flows.finished()
    ending.set()
    await new_flows


def main() -> int:
    arguments = read_arguments()
    logging.basicConfig(format="%(message)s", level=logging.INFO)
    settings = Settings(
        arguments.programs.resolve(), (BUILD / "bin").resolve(),
        arguments.duration, arguments.controls, arguments.agents,
        arguments.log_level,
    )  # fmt: skip
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        folder = Path(tempfile.mkdtemp(prefix="crowlink-soak-"))
        violations = asyncio.run(
            play(settings, folder, seed, arguments.schedule)
        )
        failed += 1 if violations else 0
        name = arguments.schedule or f"seed {seed}"
        log.info("%s: %s", name, "broken" if violations else "holds")
        for violation in violations[:20]:
            log.info("  %s", violation)
        if violations or arguments.keep:
            log.info("  logs and schedule: %s", folder)
        else:
            shutil.rmtree(folder)
    log.info("%d passed, %d failed", arguments.runs - failed, failed)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
