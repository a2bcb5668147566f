"""The plays: when hosts are killed, lose power or lose a disk."""

from __future__ import annotations

import contextlib
import os
import random
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from control_core import ControlHost, Operator
from sync_delays import SyncDelays

# An acknowledged version must be in force after this time.
IN_FORCE_S = 3.0
# Without any answer for this time, service did not come back.
LONGEST_SILENCE_S = 12.0
READ_BACK_S = 12.0
SMALL_ROUTES = 5


@dataclass(frozen=True)
class Setup:
    program: Path
    sync_delay_ms: str
    # From the last fault of a day on.
    late_sync_delay_ms: str
    routes: int = 2000
    log_level: str = "info"


class Play:
    """Three control hosts, an operator, a reader, and what they saw."""

    def __init__(self, setup: Setup, folder: Path, number: int, seed: int) -> None:
        self._source = random.Random(seed)
        self._setup = setup
        self._start = time.monotonic()
        self._folder = folder
        # Plays that go on at once meet on no address.
        prefix = f"127.{1 + os.getpid() % 250}.{number % 250}"
        addresses = [f"{prefix}.{host}" for host in (1, 2, 3)]
        self._delays = SyncDelays(folder, setup.sync_delay_ms)
        self._hosts = [
            ControlHost(e, addresses, folder, setup, self._delays)
            for e in range(len(addresses))
        ]
        self._operator = Operator(addresses, self.now)
        self._operator_turn = threading.Lock()
        self._ending = threading.Event()
        # Ends the sending of changes beside losses.
        self._calming = threading.Event()
        self._version = 0
        self.violations: list[str] = []
        self._events = (folder / "events.txt").open("w", buffering=1)

    def now(self) -> float:
        return time.monotonic() - self._start

    def run(self, kind: str) -> list[str]:
        for host in self._hosts:
            host.start()
        readers = [
            threading.Thread(target=self._read, args=(each,)) for each in self._hosts
        ]
        for each in readers:
            each.start()
        try:
            getattr(self, "_play_" + kind)()
            self._read_back()
        finally:
            self._ending.set()
            for each in readers:
                each.join()
            for host in self._hosts:
                if host.is_running:
                    host.kill()
            self._events.close()
        return self.violations

    # Plays.

    def _play_day(self) -> None:
        """The review's day: storms of large versions, a loss of the leader."""
        routes = 110
        for _ in range(6):
            self._storm(routes, 2)
            routes += 335
        self._storm(routes, 12)
        for _ in range(10):
            self._storm(routes, 12)
            self._lose_power([self._leader()], 1.0)
            self._calm(4.0)
        self._change(routes)
        self._delays.change(self._setup.late_sync_delay_ms)
        lost = self._source.choice(self._hosts)
        self._note(f"loses its disk: {lost.name}")
        self._down([lost], 1.1, lambda host: host.disk.lose_disk(), may_found=False)

    def _play_one(self) -> None:
        self._losses(lambda: self._lose_power([self._any()], self._down_s()))

    def _play_all(self) -> None:
        self._losses(lambda: self._lose_power(self._hosts, self._down_s()))

    def _play_acknowledged(self) -> None:
        """After an acknowledgement a disk is lost; the others suffer as well."""

        def strike() -> None:
            self._change(self._setup.routes)
            lost, *others = self._source.sample(self._hosts, 3)
            how = self._source.choice(("power", "killed", "running"))
            self._note(f"loses its disk: {lost.name}, the others: {how}")
            self._down(
                [lost] + (others if how != "running" else []),
                self._down_s(),
                lambda host: host.disk.lose_disk()
                if host is lost
                else self._lose_content(host, how == "power"),
                may_found=False,
            )
            self._calm(4.0)

        self._losses(strike)

    def _play_killed_one(self) -> None:
        def strike() -> None:
            host = self._any()
            self._kill_some_times([host])
            self._lose_power([host], self._down_s())

        self._losses(strike)

    def _play_killed_all(self) -> None:
        def strike() -> None:
            self._kill_some_times(self._hosts)
            self._lose_power(self._hosts, self._down_s())

        self._losses(strike)

    def _losses(self, strike) -> None:
        """Losses while the operator sends one version after the other."""
        sending = threading.Thread(target=self._send_changes)
        sending.start()
        try:
            for _ in range(self._source.randint(2, 5)):
                time.sleep(1.0 + 2.0 * self._source.random())
                strike()
                self._wait_for_answers()
        finally:
            self._calming.set()
            sending.join()

    def _send_changes(self) -> None:
        source = random.Random(self._source.random())
        while not self._calming.is_set():
            is_small = source.random() < 0.2
            self._change(SMALL_ROUTES if is_small else self._setup.routes)

    # Steps.

    def _storm(self, routes: int, changes: int) -> None:
        for _ in range(changes):
            begun = self.now()
            self._change(routes)
            time.sleep(max(0.0, begun + 0.33 - self.now()))

    def _change(self, routes: int) -> None:
        with self._operator_turn:
            self._version += 1 + self._source.randrange(3)
            version = self._version
            until = self.now() + LONGEST_SILENCE_S
            taken = self._operator.send(
                version, routes,
                lambda: self.now() < until and not self._calming.is_set(),
            )  # fmt: skip
        if not taken and not self._calming.is_set():
            self._broken(f"version {version} is not acknowledged")

    def _lose_power(self, hosts: list[ControlHost], down_s: float) -> None:
        self._note("loses power: " + ", ".join(e.name for e in hosts))
        self._down(hosts, down_s, lambda host: self._lose_content(host, True))

    def _lose_content(self, host: ControlHost, is_power: bool) -> None:
        if is_power:
            for line in host.disk.lose_power(self._source):
                self._note(f"  {host.name}: {line}")

    def _kill_some_times(self, hosts: list[ControlHost]) -> None:
        for _ in range(self._source.randint(1, 3)):
            self._note("killed: " + ", ".join(e.name for e in hosts))
            self._down(hosts, 0.05, lambda host: None)
            time.sleep(self._source.choice((0.05, 0.7, 1.5)))

    def _down(self, hosts, down_s: float, change, may_found: bool = True) -> None:
        with contextlib.ExitStack() as held:
            for host in hosts:
                held.enter_context(host.lock)
            for host in hosts:
                host.kill()
            for host in hosts:
                change(host)
            time.sleep(down_s)
            for host in hosts:
                host.start(may_found)

    def _calm(self, time_s: float) -> None:
        time.sleep(time_s)

    def _wait_for_answers(self) -> None:
        """Until a host is struck again all are back, as the limits have it."""
        begun = self.now()
        while self._operator.last_answer < begun + 0.5:
            if self.now() - begun > LONGEST_SILENCE_S:
                self._broken("nothing is answered")
                return
            time.sleep(0.05)
        self._calm(2.0)

    def _any(self) -> ControlHost:
        return self._source.choice(self._hosts)

    def _leader(self) -> ControlHost:
        leaders = [e for e in self._hosts if "leader" == e.last_role()]
        return leaders[0] if leaders else self._any()

    def _down_s(self) -> float:
        return 0.2 + 0.8 * self._source.random()

    # Judgement.

    def _read(self, host: ControlHost) -> None:
        """Reads one host again and again, and watches its process."""
        has_ended = False
        while not self._ending.is_set():
            ended = host.ended_alone()
            if ended and not has_ended:
                has_ended = True
                self._broken(ended)
            version, acknowledged_at = self._operator.acknowledged
            asked, found = self._operator.read(host.address)
            is_owed = asked > acknowledged_at + IN_FORCE_S
            if found is not None and found < version and is_owed:
                self._broken(f"{host.name} reads {found}, acknowledged was {version}")
            time.sleep(0.05)

    def _read_back(self) -> None:
        version, _ = self._operator.acknowledged
        until = self.now() + READ_BACK_S
        newest = None
        while self.now() < until:
            found = [self._operator.read(e.address)[1] for e in self._hosts]
            newest = max((e for e in found if e is not None), default=None)
            if newest is not None and newest >= version:
                self._note(f"read back: {newest}, acknowledged: {version}")
                return
            time.sleep(0.1)
        self._broken(f"read back {newest}, acknowledged was {version}")

    def _broken(self, what: str) -> None:
        self.violations.append(f"{self.now():.1f} s: {what}")
        self._note("broken: " + what)

    def _note(self, line: str) -> None:
        self._events.write(f"{self.now():.3f} {line}\n")
