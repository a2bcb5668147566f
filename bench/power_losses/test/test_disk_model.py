"""What the model of a disk keeps and loses, without any process."""

import random
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from disk_model import Disk, File  # noqa: E402


class FileTest(unittest.TestCase):
    def test_synced_content_is_kept(self):
        for seed in range(50):
            file = File()
            file.write(b"abc")
            file.sync()
            file.write(b"defgh")
            left = file.after_loss(random.Random(seed), loses_all=False)
            self.assertTrue(left.startswith(b"abc"))

    def test_a_write_that_is_missing_leaves_zeros_before_a_later_one(self):
        found = set()
        for seed in range(200):
            file = File()
            file.write(b"ab")
            file.write(b"cd")
            found.add(file.after_loss(random.Random(seed), loses_all=False))
        self.assertLessEqual({b"", b"ab", b"abcd", b"\0\0cd", b"a"}, found)

    def test_a_truncation_may_be_undone(self):
        found = set()
        for seed in range(50):
            file = File()
            file.write(b"abcd")
            file.sync()
            file.truncate(1)
            found.add(file.after_loss(random.Random(seed), loses_all=False))
        self.assertEqual({b"a", b"abcd"}, found)

    def test_all_later_writes_may_be_gone(self):
        file = File()
        file.write(b"ab")
        self.assertEqual(b"", file.after_loss(random.Random(1), loses_all=True))


class DiskTest(unittest.TestCase):
    def setUp(self):
        self._work = tempfile.TemporaryDirectory()
        self.addCleanup(self._work.cleanup)
        self._folder = Path(self._work.name) / "data"
        self._folder.mkdir()
        self._prefix = Path(self._work.name) / "notes"
        self.disk = Disk(self._folder, self._prefix)

    def note(self, lines, written=b""):
        with self._prefix.with_suffix(".notes").open("a") as notes:
            notes.write("\n".join(lines) + "\n")
        with self._prefix.with_suffix(".bytes").open("ab") as kept:
            kept.write(written)

    def test_a_write_that_was_killed_is_as_long_as_the_file(self):
        (self._folder / "log").write_bytes(b"ab")
        self.note(["create log", "done 5", "write log 4"], b"abcd")
        self.disk.read_notes()
        self.assertEqual(b"ab", bytes(self.disk.names["log"].content))

    def test_a_rename_that_was_killed_is_read_from_the_folder(self):
        (self._folder / "b").write_bytes(b"")
        self.note(["create a", "done 5", "rename a b"])
        self.disk.read_notes()
        self.assertEqual({"b"}, set(self.disk.names))

    def test_notes_that_differ_from_the_folder_are_refused(self):
        (self._folder / "other").write_bytes(b"x")
        self.note(["create a", "done 5"])
        with self.assertRaises(RuntimeError):
            self.disk.read_notes()

    def test_each_unsynced_change_of_a_name_is_lost_by_itself(self):
        found = set()
        for seed in range(100):
            self.disk = Disk(self._folder, self._prefix)
            self.disk.names = {"a": File(), "b": File()}
            self.disk.lose_power(random.Random(seed))
            found.add(tuple(sorted(e.name for e in self._folder.iterdir())))
        self.assertEqual({(), ("a",), ("b",), ("a", "b")}, found)

    def test_synced_names_are_kept(self):
        (self._folder / "a").write_bytes(b"")
        self.note(["create a", "done 5", "sync_folder", "done 0"])
        self.disk.read_notes()
        for seed in range(20):
            self.disk.lose_power(random.Random(seed))
            self.assertEqual({"a"}, set(self.disk.names))


if __name__ == "__main__":
    unittest.main()
