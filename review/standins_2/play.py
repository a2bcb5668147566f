"""Plays a case: exit status 1 if the rule was broken, 0 if it held, 2 if it
could not run."""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import traceback
from pathlib import Path

from platform_side import Record
from system import ROOT

LONGEST_S = 115.0


class CannotRun(Exception):
    """The case did not come to its disruption, or a stand-in failed."""


def with_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Path, play) -> None:
    """`play(folder, record)` yields what broke the rule; empty if it held."""
    sys.exit(asyncio.run(_run(case, play)))


async def _run(case: Path, play) -> int:
    record = Record(case / "record.txt")
    record(f"trouble: {with_trouble()}")
    if not (ROOT / "target" / "bin" / "crowlinkd").exists():
        record("cannot run: target/bin/crowlinkd is not built")
        return 2
    folder = Path(tempfile.mkdtemp(prefix="crowlink-review-"))
    try:
        broken = await asyncio.wait_for(play(folder, record), LONGEST_S)
    except Exception as problem:  # noqa: BLE001
        record(f"cannot run: {problem!r}")
        for line in traceback.format_exc().splitlines():
            record(f"  {line}")
        return 2
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    for each in broken:
        record(f"broken: {each}")
    record("the rule is broken" if broken else "the rule held")
    print(*(broken[:5] or ["the rule held"]), sep="\n")
    return 1 if broken else 0
