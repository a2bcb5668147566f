"""Lets processes run for a share of each tenth of a second.

Runs as a process of its own: a play that writes a large configuration would
otherwise leave processes stopped for longer than their share asks.

    python3 rations.py

reads lines `NAME SHARE PID...` that replace what NAME had; without a process it
has nothing any more. Ends with its input, prints how late it was at the most,
and lets all processes run.
"""

from __future__ import annotations

import os
import select
import signal
import sys
import time

PERIOD_S = 0.1


class Host:
    def __init__(self, share: float, processes: list[int], phase: float) -> None:
        self.share = share
        self.processes = processes
        self.next_at = phase
        self.runs = True

    def signal(self, number: int) -> None:
        for process in self.processes:
            try:
                os.kill(process, number)
            except ProcessLookupError:
                pass

    def turn(self) -> None:
        """Stops what runs, or lets it run, and sets when to do the other."""
        self.runs = not self.runs
        self.signal(signal.SIGCONT if self.runs else signal.SIGSTOP)
        share = self.share if self.runs else 1.0 - self.share
        self.next_at += PERIOD_S * share


class Rations:
    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        self._input = b""
        self.worst_late_s = 0.0

    def set(self, line: str) -> None:
        name, share, *processes = line.split()
        before = self._hosts.pop(name, None)
        if before is not None:
            before.signal(signal.SIGCONT)
        if processes and float(share) < 1.0:
            # Hosts are not in step with each other.
            phase = time.monotonic() + PERIOD_S * (len(self._hosts) % 7) / 7
            self._hosts[name] = Host(float(share), [int(e) for e in processes], phase)

    def run(self) -> None:
        while self._read_until(min((e.next_at for e in self._hosts.values()), default=None)):
            now = time.monotonic()
            for host in self._hosts.values():
                if host.next_at <= now:
                    self.worst_late_s = max(self.worst_late_s, now - host.next_at)
                    host.turn()
        for host in self._hosts.values():
            host.signal(signal.SIGCONT)

    def _read_until(self, moment: float | None) -> bool:
        """Takes lines for as long as nothing is due. False at the end."""
        wait = None if moment is None else max(0.0, moment - time.monotonic())
        if not select.select([0], [], [], wait)[0]:
            return True
        content = os.read(0, 65536)
        *lines, self._input = (self._input + content).split(b"\n")
        for line in lines:
            self.set(line.decode())
        return bool(content)


def main() -> int:
    rations = Rations()
    rations.run()
    print(f"worst_late_ms={rations.worst_late_s * 1000:.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
