"""What a disk may hold after a power loss, from the notes of disk_recorder.

Names and contents last once they are synced. Of what was not, each change of a
name is kept or lost by itself, and each write is whole, missing or torn; at some
losses all later writes are gone. A process that is killed leaves everything as
it is.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path

# Files that are no data: the lock is made anew by each process.
IGNORED = frozenset(("lock",))
# Of four losses one loses every unsynced write.
LOSES_ALL = 0.25


@dataclass(frozen=True)
class Write:
    offset: int
    data: bytes


@dataclass(frozen=True)
class Truncate:
    size: int


@dataclass
class File:
    """One file's content, and what of it was not synced, in order."""

    synced: bytes = b""
    unsynced: list[Write | Truncate] = field(default_factory=list)
    content: bytearray = field(default_factory=bytearray)

    def write(self, data: bytes) -> None:
        self.unsynced.append(Write(len(self.content), data))
        self.content += data

    def truncate(self, size: int) -> None:
        self.unsynced.append(Truncate(size))
        del self.content[size:]

    def sync(self) -> None:
        self.synced = bytes(self.content)
        self.unsynced.clear()

    def after_loss(self, source: random.Random, loses_all: bool) -> bytes:
        content = bytearray(self.synced)
        for change in self.unsynced:
            outcome = source.choice(("whole", "missing", "torn"))
            if loses_all or outcome == "missing":
                continue
            if isinstance(change, Truncate):
                del content[change.size :]
                continue
            data = change.data
            if outcome == "torn":
                data = data[: source.randrange(len(data) + 1)]
            _overlay(content, change.offset, data)
        return bytes(content)


def _overlay(content: bytearray, offset: int, data: bytes) -> None:
    """Writes over the content; a gap before the data holds zeros."""
    if data and len(content) < offset:
        content += bytes(offset - len(content))
    content[offset : offset + len(data)] = data


class Disk:
    """Follows the notes of the processes that had one data folder in turn."""

    def __init__(self, folder: Path, notes_prefix: Path) -> None:
        self._folder = folder
        self._notes = notes_prefix.with_suffix(".notes")
        self._bytes = notes_prefix.with_suffix(".bytes")
        self._lines_read = 0
        self._bytes_read = 0
        self.names: dict[str, File] = {}
        self._durable: dict[str, File] = {}

    def read_notes(self) -> None:
        """Takes up what a process that has ended did since the last time."""
        if not self._notes.exists():
            return
        lines = self._notes.read_text().splitlines()[self._lines_read :]
        self._lines_read += len(lines)
        with self._bytes.open("rb") as source:
            source.seek(self._bytes_read)
            while lines:
                begun = lines.pop(0).split()
                outcome = lines.pop(0).split() if lines else ["interrupted"]
                data = b""
                if begun[0] == "write":
                    data = source.read(int(begun[2]))
                    self._bytes_read += len(data)
                self._take(begun, outcome, data)
            # A process may be killed before it notes a write.
            self._bytes_read = self._bytes.stat().st_size
        self._check()

    def _take(self, begun: list[str], outcome: list[str], data: bytes) -> None:
        call, *words = begun
        if outcome[0] == "failed" or (words and words[0] in IGNORED):
            return
        if outcome[0] == "interrupted":
            self._take_interrupted(call, words, data)
            return
        if call == "write":
            self._write(words[0], data[: int(outcome[1])])
        elif call == "truncate":
            self.names[words[0]].truncate(int(words[1]))
        elif call == "sync":
            self.names[words[0]].sync()
        elif call == "sync_folder":
            self._durable = dict(self.names)
        else:
            self._change_names(call, words)

    def _take_interrupted(self, call: str, words: list[str], data: bytes) -> None:
        """The last call of a killed process: the folder shows what it did."""
        if call == "write":
            file = self._folder / words[0]
            have = file.stat().st_size - len(self.names[words[0]].content)
            if have > 0:
                self._write(words[0], data[:have])
        elif call == "truncate":
            if (self._folder / words[0]).stat().st_size == int(words[1]):
                self.names[words[0]].truncate(int(words[1]))
        elif call in ("create", "rename", "remove"):
            is_done = (self._folder / words[-1]).exists() != (call == "remove")
            if call == "rename":
                is_done = not (self._folder / words[0]).exists()
            if is_done:
                self._change_names(call, words)

    def _write(self, name: str, data: bytes) -> None:
        self.names[name].write(data)

    def _change_names(self, call: str, words: list[str]) -> None:
        if call == "create":
            self.names[words[0]] = File()
        elif call == "rename":
            self.names[words[1]] = self.names.pop(words[0])
        elif call == "remove":
            del self.names[words[0]]

    def _check(self) -> None:
        """The notes and the folder must agree, or the play proves nothing."""
        real = {
            each.name: each.read_bytes()
            for each in self._folder.iterdir()
            if each.name not in IGNORED
        }
        noted = {name: bytes(each.content) for name, each in self.names.items()}
        if real != noted:
            sizes = [{n: len(c) for n, c in e.items()} for e in (noted, real)]
            raise RuntimeError(f"notes and folder differ: {sizes}")

    def lose_power(self, source: random.Random) -> list[str]:
        """Writes the folder anew; yields what was lost or kept by chance."""
        told = []
        loses_all = source.random() < LOSES_ALL
        left: dict[str, File] = {}
        for name in sorted(self.names.keys() | self._durable.keys()):
            now, before = self.names.get(name), self._durable.get(name)
            kept = now
            if now is not before:
                kept = source.choice((now, before))
                told.append(
                    f"{name}: change of the name "
                    + ("kept" if kept is now else "lost")
                )
            if kept is not None:
                left[name] = kept
        contents = {
            name: each.after_loss(source, loses_all)
            for name, each in left.items()
        }
        for name, each in left.items():
            if each.unsynced:
                told.append(
                    f"{name}: {len(each.content)} bytes, "
                    f"{len(each.synced)} synced, {len(contents[name])} left"
                )
        self._write_folder(contents)
        return told

    def lose_disk(self) -> None:
        self._write_folder({})

    def _write_folder(self, contents: dict[str, bytes]) -> None:
        for each in self._folder.iterdir():
            each.unlink()
        for name, content in contents.items():
            (self._folder / name).write_bytes(content)
        self.names = {
            name: File(content, [], bytearray(content))
            for name, content in contents.items()
        }
        self._durable = dict(self.names)
