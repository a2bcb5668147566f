"""Power losses of real control processes, drawn from seeds.

    python3 bench/power_losses [--play NAME] [--seed N] [--runs N] [--jobs N]

Starts three control processes that record what they do to their data folders,
sends configurations, kills processes, and writes their folders anew as a loss of
power may leave them. Ends with 1 if a process does not start, a read is older
than what was acknowledged, or answers do not come back.
"""

from __future__ import annotations

import argparse
import random
import shutil
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from plays import Play, Setup
from whole_day import DAYS, IDLE_ROUTES, DaySetup, play_whole_day

PLAYS = (
    "day", "one", "all", "acknowledged", "killed_one", "killed_all", "whole_day",
    "many_routes",
)  # fmt: skip
USUAL_ROUTES = 2000
# Of the first configuration.
FIRST_ROUTES = {"whole_day": IDLE_ROUTES, "many_routes": 2120}


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="power_losses", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )  # fmt: skip
    parser.add_argument("--play", choices=PLAYS, default="killed_all")
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--runs", type=int, default=1, help="seeds played")
    parser.add_argument("--jobs", type=int, default=1, help="plays at once")
    parser.add_argument(
        "--sync-delay-ms", default="8", metavar="MS[-MS]",
        help="how much longer a sync takes, or between which times",
    )  # fmt: skip
    parser.add_argument(
        "--late-sync-delay-ms", metavar="MS[-MS]",
        help="the same from the last fault of a day on",
    )  # fmt: skip
    parser.add_argument("--routes", type=int, help="of a version")
    parser.add_argument("--log-level", default="info")
    parser.add_argument(
        "--keep-connections", action="store_true",
        help="whole_day: callers keep their connections open between calls",
    )  # fmt: skip
    parser.add_argument(
        "--closing", choices=("run", "core", "all", "drawn"), default="drawn",
        help="whole_day: who else loses power when a disk is lost at the end",
    )  # fmt: skip
    parser.add_argument("--losses", type=int, default=10, help="whole_day")
    parser.add_argument(
        "--seeds", choices=("core", "any", "changing"), default="core",
        help="whole_day: hosts that the settings name: with a disk, or any",
    )  # fmt: skip
    parser.add_argument(
        "--rations", type=float, default=0.0, metavar="FACTOR",
        help="whole_day: each process runs for its host's share of a core, times"
        " this; 0 is without end",
    )  # fmt: skip
    parser.add_argument("--silent", action="store_true", help="whole_day")
    parser.add_argument("--separate-reader", action="store_true", help="whole_day")
    parser.add_argument("--keep", action="store_true", help="keep all folders")
    parser.add_argument(
        "--program", type=Path,
        default=Path("build/release/bin/crowlinkd_recorded"),
    )  # fmt: skip
    parser.add_argument(
        "--plain-program", type=Path, default=Path("build/release/bin/crowlinkd"),
        help="whole_day: of the hosts without a disk",
    )  # fmt: skip
    return parser.parse_args()


def play_seed(arguments: argparse.Namespace, number: int) -> bool:
    """Whether everything held."""
    seed = arguments.seed + number
    folder = Path(tempfile.mkdtemp(prefix="crowlink-power-"))
    if arguments.play in DAYS:
        violations = play_day(arguments, folder, number, seed)
    else:
        setup = Setup(
            arguments.program.resolve(), arguments.sync_delay_ms,
            late_sync_delay(arguments), arguments.routes or USUAL_ROUTES,
            arguments.log_level,
        )  # fmt: skip
        violations = Play(setup, folder, number, seed).run(arguments.play)
    held = not violations
    lines = [f"{arguments.play} seed {seed}: {'holds' if held else 'broken'}"]
    lines += [f"  {each}" for each in violations[:5]]
    if held and not arguments.keep:
        shutil.rmtree(folder)
    else:
        lines.append(f"  folder: {folder}")
    print("\n".join(lines), flush=True)
    return held


def late_sync_delay(arguments) -> str:
    return arguments.late_sync_delay_ms or arguments.sync_delay_ms


def play_day(arguments, folder: Path, number: int, seed: int) -> list[str]:
    source = random.Random(seed)
    closing = source.choice(("run", "core", "all"))
    setup = DaySetup(
        arguments.program.resolve(), arguments.plain_program.resolve(),
        arguments.sync_delay_ms, late_sync_delay(arguments), source,
        arguments.keep_connections,
        closing if arguments.closing == "drawn" else arguments.closing,
        arguments.losses, arguments.seeds, arguments.rations,
        arguments.separate_reader, arguments.silent,
        arguments.routes or FIRST_ROUTES[arguments.play],
    )  # fmt: skip
    return play_whole_day(setup, folder, number, arguments.play)


def main() -> int:
    arguments = read_arguments()
    with ThreadPoolExecutor(arguments.jobs) as pool:
        held = list(
            pool.map(lambda e: play_seed(arguments, e), range(arguments.runs))
        )
    print(f"{sum(held)} passed, {len(held) - sum(held)} failed")
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
