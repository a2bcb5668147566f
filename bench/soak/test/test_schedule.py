"""Tests of what is drawn and how it is written down."""

import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import schedule  # noqa: E402
from schedule import Fault, Hosts  # noqa: E402

HOSTS = Hosts(
    ("control-1", "control-2", "control-3"),
    ("balancer-1", "balancer-2"),
    ("agent-1", "agent-2"),
)
DURATION_S = 40.0


class DrawnSchedule(unittest.TestCase):
    def test_is_the_same_for_the_same_seed(self) -> None:
        first = schedule.drawn(7, HOSTS, DURATION_S)
        self.assertEqual(first, schedule.drawn(7, HOSTS, DURATION_S))
        self.assertNotEqual(first, schedule.drawn(8, HOSTS, DURATION_S))

    def test_ends_within_its_duration(self) -> None:
        for seed in range(50):
            for event in schedule.drawn(seed, HOSTS, DURATION_S):
                self.assertLessEqual(event.end_s, DURATION_S)

    def test_holds_every_fault_over_many_seeds_and_some_overlap(self) -> None:
        seen = set()
        overlaps = 0
        for seed in range(50):
            events = schedule.drawn(seed, HOSTS, DURATION_S)
            seen |= {event.fault for event in events}
            overlaps += sum(
                1 for a, b in zip(events, events[1:]) if b.at_s < a.end_s
            )
        self.assertEqual(seen, set(Fault))
        self.assertGreater(overlaps, 50)

    def test_strikes_packet_agents_only_when_asked(self) -> None:
        hosts = Hosts(
            HOSTS.control, HOSTS.balancers, HOSTS.agents,
            ("packet-agent-1", "packet-balancer-1", "packet-callers-1"),
        )  # fmt: skip
        plain, struck = (
            [
                event
                for seed in range(20)
                for event in schedule.drawn(seed, hosts, DURATION_S, asked)
                if event.target in hosts.packets
            ]
            for asked in (False, True)
        )
        self.assertEqual(plain, [])
        self.assertEqual({e.target for e in struck}, {"packet-agent-1"})

    def test_cuts_no_pair_of_one_host_with_itself(self) -> None:
        for seed in range(50):
            for event in schedule.drawn(seed, HOSTS, DURATION_S):
                self.assertNotEqual(event.target, event.other)

    def test_is_read_as_it_was_written(self) -> None:
        events = schedule.drawn(3, HOSTS, DURATION_S)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "schedule.json"
            file.write_text(schedule.written(events))
            self.assertEqual(events, schedule.read(file))


if __name__ == "__main__":
    unittest.main()
