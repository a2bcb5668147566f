"""The elections that the logs of control hosts tell of."""

from __future__ import annotations

WON = ("event=control_role", "role=leader")


class Elections:
    """Reads what was appended to the logs of the hosts with a disk."""

    def __init__(self, hosts) -> None:
        self._logs = [
            (host.name, process.log)
            for host in hosts
            for process in host.processes
            if process.name.endswith("/control")
        ]
        self._read: dict[str, int] = {}
        self.won = 0

    def take_new(self) -> list[str]:
        """The hosts that were elected since this was last asked."""
        elected = []
        for name, log in self._logs:
            if not log.exists():
                continue
            with log.open("rb") as file:
                file.seek(self._read.get(name, 0))
                content = file.read()
            whole = content[: content.rfind(b"\n") + 1]
            self._read[name] = self._read.get(name, 0) + len(whole)
            for line in whole.decode(errors="replace").splitlines():
                if set(WON) <= set(line.split()):
                    elected.append(name)
        self.won += len(elected)
        return elected
