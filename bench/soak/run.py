"""One run: a deployment, its callers, a schedule, and the verdict."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from checks import Checker, Violation
from deployment import Deployment, Settings
from faults import Injector
from process import Process, RunLog
from schedule import Event, Hosts, written

LONG_FLOWS = 48
LONG_GAP_MS = 400
# A caller resends each 200 ms: 8 s without an answer are a failure.
TRIES = 40
SHORT_FLOWS = 12
SHORT_MESSAGES = 3
SHORT_GAP_MS = 100
# What the last faults have left behind may show itself for so long after them.
CALM_S = 5.0
# Until new flows settle and every agent has a home.
WARM_UP_S = 4.0
LONGEST_STOP_S = 10.0


class Run:
    """Plays events on a deployment of its own, with its logs in a folder."""

    def __init__(self, settings: Settings, folder: Path, number: int) -> None:
        self._folder = folder
        self._checker = Checker()
        self._log = RunLog(folder / "run.log", self._checker.read)
        self._system = Deployment(settings, folder, self._log, number)

    @property
    def hosts(self) -> Hosts:
        return self._system.hosts

    async def play(self, events: list[Event]) -> list[Violation]:
        """Yields what did not hold, in the order in which it was seen."""
        (self._folder / "schedule.json").write_text(written(events))
        watching = None
        try:
            await self._system.start()
            watching = asyncio.ensure_future(self._watch_processes())
            await asyncio.sleep(WARM_UP_S)
            await self._play_beside_callers(events)
        finally:
            if watching is not None:
                watching.cancel()
            await self._stop()
        return self._checker.violations

    async def _play_beside_callers(self, events: list[Event]) -> None:
        last_s = max((event.end_s for event in events), default=0.0)
        messages = int((last_s + CALM_S) * 1000 / LONG_GAP_MS)
        long_flows = self._system.callers(
            "long", LONG_FLOWS, messages, LONG_GAP_MS, TRIES
        )
        await long_flows.start()
        packet_flows = await self._call_packet_hosts(messages)
        ending = asyncio.Event()
        new_flows = asyncio.ensure_future(self._call_new_flows(ending))
        await Injector(self._system, self._log).play(events)
        await long_flows.finished()
        if packet_flows is not None:
            await packet_flows.finished()
        ending.set()
        await new_flows

    async def _call_packet_hosts(self, messages: int) -> Process | None:
        if not self._system.has_packet_hosts:
            return None
        callers = self._system.packet_callers(
            LONG_FLOWS, messages, LONG_GAP_MS, TRIES
        )
        await callers.start()
        return callers

    async def _call_new_flows(self, ending: asyncio.Event) -> None:
        """Opens short flows, one batch after the other."""
        batch = 0
        while not ending.is_set():
            batch += 1
            callers = self._system.callers(
                f"short-{batch}", SHORT_FLOWS, SHORT_MESSAGES, SHORT_GAP_MS, TRIES
            )
            await callers.start()
            await callers.finished()

    async def _watch_processes(self) -> None:
        """Notes processes that end without having been asked to."""
        while True:
            for process in self._system.processes.values():
                if process.is_wanted and not process.is_running:
                    self._checker.ended_alone(process.name, process.exit_status)
                    process.is_wanted = False
            await asyncio.sleep(0.2)

    async def _stop(self) -> None:
        statuses = await self._system.stop(signal.SIGTERM, LONGEST_STOP_S)
        self._log.close()
        for name in sum(vars(self.hosts).values(), ()):
            if name in statuses:
                self._checker.ended(name, statuses[name])
