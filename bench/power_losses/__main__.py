"""Power losses of real control processes, drawn from seeds.

    python3 bench/power_losses [--play NAME] [--seed N] [--runs N] [--jobs N]

Starts three control processes that record what they do to their data folders,
sends configurations, kills processes, and writes their folders anew as a loss of
power may leave them. Ends with 1 if a process does not start, a read is older
than what was acknowledged, or answers do not come back.
"""

from __future__ import annotations

import argparse
import shutil
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from plays import Play, Setup

PLAYS = ("day", "one", "all", "acknowledged", "killed_one", "killed_all")


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="power_losses", description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )  # fmt: skip
    parser.add_argument("--play", choices=PLAYS, default="killed_all")
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--runs", type=int, default=1, help="seeds played")
    parser.add_argument("--jobs", type=int, default=1, help="plays at once")
    parser.add_argument("--sync-delay-ms", type=int, default=8)
    parser.add_argument("--routes", type=int, default=2000, help="of a version")
    parser.add_argument("--log-level", default="info")
    parser.add_argument("--keep", action="store_true", help="keep all folders")
    parser.add_argument(
        "--program", type=Path,
        default=Path("build/release/bin/crowlinkd_recorded"),
    )  # fmt: skip
    return parser.parse_args()


def play_seed(arguments: argparse.Namespace, number: int) -> bool:
    """Whether everything held."""
    seed = arguments.seed + number
    folder = Path(tempfile.mkdtemp(prefix="crowlink-power-"))
    setup = Setup(
        arguments.program.resolve(), arguments.sync_delay_ms,
        arguments.routes, arguments.log_level,
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
