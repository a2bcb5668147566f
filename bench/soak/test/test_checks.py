"""Tests of what counts as a promise that did not hold."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from checks import Checker  # noqa: E402


def promises(*lines: tuple[str, str]) -> list[str]:
    checker = Checker()
    for process, line in lines:
        checker.read(process, line)
    return [violation.promise for violation in checker.violations]


class CheckedLines(unittest.TestCase):
    def test_a_moved_flow_is_a_violation(self) -> None:
        line = "moved from=127.0.0.1:4 message=3 upstream=a answered_by=b"
        self.assertEqual(
            promises(("long", line)), ["a flow stays with its upstream"]
        )

    def test_an_unanswered_request_is_a_violation(self) -> None:
        line = "unanswered from=127.0.0.1:4 message=3 upstream=a answered_by="
        self.assertEqual(promises(("long", line)), ["a request is answered"])

    def test_a_reset_of_an_open_flow_is_a_violation(self) -> None:
        line = "reset from=127.0.0.1:4 message=3 upstream=a answered_by="
        self.assertEqual(
            promises(("packets", line)), ["an open flow is not reset"]
        )

    def test_an_answer_of_another_service_is_a_violation(self) -> None:
        line = "flows=2 answered=3 sent=3 resent=0 wrong_service={} moved=0"
        self.assertEqual(promises(("long", line.format(0))), [])
        self.assertEqual(
            promises(("long", line.format(1))), ["no other service answers"]
        )

    def test_a_version_that_goes_back_is_a_violation(self) -> None:
        newer = ("agent-1", "level=info event=version_in_force version=10")
        older = ("agent-1", "level=info event=version_in_force version=9")
        other = ("agent-2", "level=info event=version_in_force version=9")
        started = ("agent-1", "level=info event=started role=agent")
        self.assertEqual(promises(older, newer, other), [])
        self.assertEqual(
            promises(newer, older), ["a configuration never reverts"]
        )
        self.assertEqual(promises(newer, started, older), [])

    def test_a_stop_with_another_status_than_0_is_a_violation(self) -> None:
        checker = Checker()
        checker.ended("agent-1", 0)
        self.assertEqual(checker.violations, [])
        checker.ended("agent-1", None)
        self.assertEqual(len(checker.violations), 1)


if __name__ == "__main__":
    unittest.main()
