"""Carries out the events of a schedule on a deployment."""

from __future__ import annotations

import asyncio
import signal

from deployment import Deployment
from link_proxy import Direction, Link
from process import RunLog
from schedule import Event, Fault

# An agent that is asked to end keeps its flows for as long as its settings say.
LONGEST_STOP_S = 10.0


class Injector:
    """Holds what several events hold at once until the last of them ends."""

    def __init__(self, system: Deployment, log: RunLog) -> None:
        self._system = system
        self._log = log
        self._holds: dict[int, int] = {}
        self._frozen: dict[str, int] = {}

    async def play(self, events: list[Event]) -> None:
        """Returns when the last event has ended."""
        start = self._log.now()
        await asyncio.gather(*(self._play(start, each) for each in events))

    async def _play(self, start: float, event: Event) -> None:
        await asyncio.sleep(max(0.0, start + event.at_s - self._log.now()))
        self._log.write("soak", f"event={event.fault.value} {event}")
        await getattr(self, "_" + event.fault.value)(event)
        self._log.write("soak", f"ended={event.fault.value} {event.target}")

    async def _freeze(self, event: Event) -> None:
        process = self._system.processes[event.target]
        self._frozen[event.target] = self._frozen.get(event.target, 0) + 1
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(event.for_s)
        self._frozen[event.target] -= 1
        if self._frozen[event.target] == 0:
            process.signal(signal.SIGCONT)

    async def _kill(self, event: Event) -> None:
        await self._replace(event, signal.SIGKILL)

    async def _restart(self, event: Event) -> None:
        await self._replace(event, signal.SIGTERM)

    async def _replace(self, event: Event, number: signal.Signals) -> None:
        process = self._system.processes[event.target]
        if not process.is_wanted:
            return
        await process.end(number, LONGEST_STOP_S)
        await asyncio.sleep(event.for_s)
        await process.start()

    async def _cut_peers(self, event: Event) -> None:
        own, others = self._system.peer_links(event.target)
        await self._hold(event, _both(own + others))

    async def _mute_peers(self, event: Event) -> None:
        own, others = self._system.peer_links(event.target)
        await self._hold(
            event, [e.forward for e in own] + [e.back for e in others]
        )

    async def _cut_pair(self, event: Event) -> None:
        between = self._system.links_between
        await self._hold(
            event,
            _both(
                between(event.target, event.other)
                + between(event.other, event.target)
            ),
        )

    async def _cut_control(self, event: Event) -> None:
        await self._hold(event, _both(self._system.links_of(event.target)))

    async def _slow(self, event: Event) -> None:
        links = self._system.links_of(event.target)
        for link in links:
            link.slow(event.delay_s)
        await asyncio.sleep(event.for_s)
        for link in links:
            link.slow(0.0)

    async def _reset(self, event: Event) -> None:
        for link in self._system.links_of(event.target):
            link.reset()

    async def _hold(self, event: Event, ways: list[Direction]) -> None:
        for way in ways:
            self._holds[id(way)] = self._holds.get(id(way), 0) + 1
            way.hold()
        await asyncio.sleep(event.for_s)
        for way in ways:
            self._holds[id(way)] -= 1
            if self._holds[id(way)] == 0:
                way.release()


def _both(links: list[Link]) -> list[Direction]:
    return [way for e in links for way in (e.forward, e.back)]
