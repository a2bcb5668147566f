"""One of the run's processes, with its output in the run's log."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Callable, TextIO

# Called with the name of a process and a line of its output.
LineReader = Callable[[str, str], None]


class RunLog:
    """The output of all processes, a line each with time and process."""

    def __init__(self, file: Path, reader: LineReader) -> None:
        self._out: TextIO = file.open("w", buffering=1 << 16)
        self._reader = reader
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the log was begun."""
        return time.monotonic() - self._start

    def write(self, name: str, line: str) -> None:
        self._out.write(f"{self.now():.4f} {name} {line}\n")
        self._reader(name, line)

    def close(self) -> None:
        self._out.close()


class Process:
    """A program that is started, and ended by its id alone."""

    def __init__(self, name: str, command: list[str], log: RunLog) -> None:
        self.name = name
        self._command = command
        self._log = log
        self._child: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None
        # Whether it is started and not asked to end.
        self.is_wanted = False

    async def start(self) -> None:
        self._child = await asyncio.create_subprocess_exec(
            *self._command,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reading = asyncio.ensure_future(self._read(self._child))
        # Not before there is a child: the one of its last life has ended.
        self.is_wanted = True

    @property
    def is_running(self) -> bool:
        return self._child is not None and self._child.returncode is None

    @property
    def exit_status(self) -> int | None:
        return None if self._child is None else self._child.returncode

    def signal(self, number: signal.Signals) -> None:
        if self.is_running:
            assert self._child is not None
            self._child.send_signal(number)

    async def end(self, number: signal.Signals, longest_s: float) -> int | None:
        """Signals it and returns its status; None if it went on and was killed."""
        self.is_wanted = False
        if not self.is_running:
            return self.exit_status
        assert self._child is not None
        self.signal(signal.SIGCONT)
        self.signal(number)
        try:
            await asyncio.wait_for(self._child.wait(), longest_s)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self._child.wait()
            return None
        finally:
            if self._reading is not None:
                await self._reading
        return self._child.returncode

    async def finished(self) -> int:
        """Waits until it ends by itself."""
        assert self._child is not None and self._reading is not None
        await self._reading
        return await self._child.wait()

    async def _read(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        async for line in child.stdout:
            self._log.write(self.name, line.decode(errors="replace").rstrip())
