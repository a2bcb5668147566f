"""Tests of starting and ending processes, with programs that any system has."""

import asyncio
import signal
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from process import Process, RunLog  # noqa: E402


class StartedProcess(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.lines: list[tuple[str, str]] = []
        self.log = RunLog(
            Path(self.folder.name) / "run.log",
            lambda name, line: self.lines.append((name, line)),
        )

    async def asyncTearDown(self) -> None:
        self.log.close()
        self.folder.cleanup()

    async def test_has_its_output_in_the_log(self) -> None:
        process = Process("speaker", ["echo", "hello"], self.log)
        await process.start()
        self.assertEqual(await process.finished(), 0)
        self.assertEqual(self.lines, [("speaker", "hello")])

    async def test_is_never_wanted_and_ended_while_it_is_replaced(self) -> None:
        process = Process("sleeper", ["sleep", "1000"], self.log)
        alarms = 0

        async def watch() -> None:
            nonlocal alarms
            while True:
                alarms += process.is_wanted and not process.is_running
                await asyncio.sleep(0)

        watching = asyncio.ensure_future(watch())
        await process.start()
        for _ in range(3):
            await process.end(signal.SIGKILL, 10.0)
            await process.start()
        self.assertTrue(process.is_running)
        await process.end(signal.SIGKILL, 10.0)
        watching.cancel()
        self.assertEqual(alarms, 0)

    async def test_that_stands_still_ends_all_the_same(self) -> None:
        process = Process("sleeper", ["sleep", "1000"], self.log)
        await process.start()
        process.signal(signal.SIGSTOP)
        status = await process.end(signal.SIGTERM, 10.0)
        self.assertEqual(status, -signal.SIGTERM)


if __name__ == "__main__":
    unittest.main()
