"""How much longer the syncs of recorded processes take; it may change at any time."""

from __future__ import annotations

from pathlib import Path


class SyncDelays:
    """The file that disk_recorder reads before each sync."""

    def __init__(self, folder: Path, milliseconds: str) -> None:
        self.file = folder / "sync-delays"
        self.change(milliseconds)

    def change(self, milliseconds: str) -> None:
        """Takes a time, or the shortest and the longest one: 8, or 0-300."""
        shortest, _, longest = milliseconds.partition("-")
        self.file.write_text(f"{int(shortest)} {int(longest or shortest)}\n")
