"""What the whole deployment is made of, without any process."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from day_configuration import configuration  # noqa: E402
from settings_template import render  # noqa: E402
from sync_delays import SyncDelays  # noqa: E402
from whole_deployment import TEMPLATES  # noqa: E402

FIELDS = {
    "ip": "127.0.0.1", "zone": "brest", "region": "bretagne",
    "zones": {"brest": "bretagne", "lorient": "bretagne"},
    "seeds": ["127.0.0.1:3003", "127.0.0.2:3003"], "internalPorts": [3001, 3002],
    "faultTolerance": {"machines": 1}, "bootstrap": True,
    "listen": {"control": "127.0.0.1:3003"},
}  # fmt: skip


def read_settings(role: str, fields: dict) -> dict:
    text = render((TEMPLATES / f"{role}.jsonc").read_text(), fields)
    lines = [e for e in text.splitlines() if not e.strip().startswith("//")]
    return json.loads("\n".join(lines))


class SettingsTest(unittest.TestCase):
    def test_a_host_with_a_disk_is_a_control_host(self):
        found = read_settings("control", {**FIELDS, "dataDir": "/data"})
        self.assertEqual("/data", found["control"]["data_folder"])
        self.assertEqual("127.0.0.1:3003", found["control"]["platform_listen"])
        self.assertNotIn("operator_relay", found)

    def test_a_host_without_a_disk_is_a_relay(self):
        found = read_settings("control", FIELDS)
        self.assertNotIn("control", found)
        self.assertEqual("127.0.0.1:3003", found["operator_relay"])

    def test_lists_and_tables_are_rendered_entry_by_entry(self):
        found = read_settings("control", FIELDS)
        names = [each["name"] for each in found["data_centres"]]
        self.assertEqual(["brest", "lorient"], names)
        self.assertEqual(FIELDS["seeds"], found["seeds"]["hosts"])


class ConfigurationTest(unittest.TestCase):
    def test_a_change_adds_a_route_and_drops_the_one_four_changes_before(self):
        before, after = configuration(8, 8, 2), configuration(9, 9, 2)
        names = [{e["name"] for e in each["routes"]} for each in (before, after)]
        self.assertEqual({"added-9"}, names[1] - names[0])
        self.assertEqual({"added-5"}, names[0] - names[1])


class SyncDelaysTest(unittest.TestCase):
    def test_one_time_or_two_are_written(self):
        with tempfile.TemporaryDirectory() as folder:
            delays = SyncDelays(Path(folder), "8")
            self.assertEqual("8 8\n", delays.file.read_text())
            delays.change("0-300")
            self.assertEqual("0 300\n", delays.file.read_text())


if __name__ == "__main__":
    unittest.main()
