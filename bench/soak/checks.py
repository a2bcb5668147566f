"""What must hold, judged from what callers see and processes say."""

from __future__ import annotations

import re
from dataclasses import dataclass

RESET = re.compile(r"^reset (?P<rest>.*)")
MOVED = re.compile(r"^moved (?P<rest>.*)")
UNANSWERED = re.compile(r"^unanswered (?P<rest>.*)")
CALLERS_END = re.compile(r"^flows=\d+ .*wrong_service=(?P<wrong>\d+)")
IN_FORCE = re.compile(r"event=version_in_force .*?version=(?P<version>\d+)")
STARTED = re.compile(r"event=started\b")


@dataclass(frozen=True, order=True)
class Violation:
    """A promise that did not hold, with the line that shows it."""

    promise: str
    process: str
    evidence: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.process}: {self.evidence}"


class Checker:
    """Takes every line of every process in the order in which it came."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        # The newest version in force at each node in its present life; one
        # that starts anew knows nothing of before.
        self._versions: dict[str, int] = {}

    def read(self, process: str, line: str) -> None:
        if match := MOVED.match(line):
            self._broken("a flow stays with its upstream", process, line)
        elif match := UNANSWERED.match(line):
            self._broken("a request is answered", process, line)
        elif match := RESET.match(line):
            self._broken("an open flow is not reset", process, line)
        elif match := CALLERS_END.match(line):
            if int(match["wrong"]) > 0:
                self._broken("no other service answers", process, line)
        elif match := IN_FORCE.search(line):
            version = int(match["version"])
            if version < self._versions.get(process, 0):
                self._broken("a configuration never reverts", process, line)
            self._versions[process] = version
        elif STARTED.search(line):
            self._versions.pop(process, None)

    def ended(self, process: str, status: int | None) -> None:
        """Takes the status of a process that was asked to end."""
        if status != 0:
            self._broken("a graceful stop ends with 0", process, f"{status}")

    def ended_alone(self, process: str, status: int | None) -> None:
        self._broken("a process runs on", process, f"ended with {status}")

    def _broken(self, promise: str, process: str, evidence: str) -> None:
        self.violations.append(Violation(promise, process, evidence))
