"""A small deployment on loopback: every role as a process of its own.

Settings are filled in from the templates that the deploy file names, with the
fields and the bounds of a small deployment.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "bench" / "power_losses"))
from settings_template import render  # noqa: E402

REGION = "ncr"
ZONES = ("quezon", "pasig", "makati")
EDGES = {"quezon": 3, "pasig": 3, "makati": 2}
CONTROL, READY, PACKETS, OUTBOUND, APP = 8166, 8167, 8172, 8173, 8080
INTERNAL_PORTS = [7720, 7735]
RESTART_DELAY_S = 0.5
GRACE_S = 6.0


def free_prefix() -> str:
    """The first three numbers of loopback addresses that nobody uses."""
    source = random.Random(os.getpid() ^ time.time_ns())
    while True:
        prefix = f"127.{source.randint(10, 250)}.{source.randint(1, 250)}"
        try:
            for port in (CONTROL, READY, PACKETS, OUTBOUND, APP, *INTERNAL_PORTS):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((f"{prefix}.1", port))
            return prefix
        except OSError:
            continue


class Process:
    """One role on one machine, started by the deploy file's command."""

    def __init__(self, role: str, command: list[str], settings: Path, log: Path):
        self.role = role
        self.settings = settings
        self.log = log
        self._command = command
        self.child: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {e: os.environ[e] for e in ("PATH", "HOME") if e in os.environ}
        environment["CROWLINK_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *self._command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )

    def signal(self, number: int) -> None:
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def wait(self) -> None:
        if self.child is not None:
            await self.child.wait()

    def ended_with(self) -> int | None:
        return None if self.child is None else self.child.returncode


class Machine:
    def __init__(self, name: str, zone: str, address: str):
        self.name = name
        self.zone = zone
        self.address = address
        self.processes: list[Process] = []
        self.has_disk = False

    def role(self, name: str) -> Process:
        return next(e for e in self.processes if e.role == name)

    def signal(self, number: int) -> None:
        for each in self.processes:
            each.signal(number)

    async def start(self) -> None:
        for each in self.processes:
            await each.start()

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        for each in self.processes:
            await each.wait()

    async def restart_by_plan(self) -> None:
        """SIGTERM, SIGKILL after the grace, and a start after a short delay."""
        self.signal(signal.SIGTERM)
        waits = [asyncio.ensure_future(e.wait()) for e in self.processes]
        _, late = await asyncio.wait(waits, timeout=GRACE_S)
        if late:
            self.signal(signal.SIGKILL)
            await asyncio.wait(late)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()


class System:
    """`targets` has the zones of the machines beside each service's targets."""

    def __init__(self, folder: Path, targets: dict[str, tuple[str, ...]]):
        self.folder = folder
        self.prefix = free_prefix()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._roles = deploy["roles"]
        self._targets = targets
        self.edges: list[Machine] = []
        self.sides: dict[str, list[Machine]] = {}
        self._count = 0
        for zone in ZONES:
            for number in range(EDGES[zone]):
                edge = self._machine(f"edge-{zone}-{number + 1}", zone)
                edge.has_disk = number == 0
                self.edges.append(edge)

    def _machine(self, name: str, zone: str) -> Machine:
        self._count += 1
        return Machine(name, zone, f"{self.prefix}.{self._count}")

    @property
    def core(self) -> list[Machine]:
        return [e for e in self.edges if e.has_disk]

    @property
    def control(self) -> list[Machine]:
        """The machines that serve `control_plane`: the first two of a zone."""
        count = self._roles["control"]["count"]
        return [
            e for zone in ZONES
            for e in [x for x in self.edges if x.zone == zone][:count]
        ]  # fmt: skip

    @property
    def machines(self) -> list[Machine]:
        return self.edges + [e for some in self.sides.values() for e in some]

    def prepare(self, seeds: list[Machine] | None = None) -> None:
        """Writes the settings of all processes."""
        self.seeds = [f"{e.address}:{CONTROL}" for e in seeds or self.core]
        for edge in self.edges:
            self._add(edge, "balancer")
            if edge in self.control:
                self._add(edge, "control")
        for service, zones in self._targets.items():
            self.sides[service] = []
            for zone in zones:
                self.add_side(service, zone)

    def add_side(self, service: str, zone: str) -> Machine:
        number = len(self.sides[service]) + 1
        side = self._machine(f"side-{service}-{number}", zone)
        self._add(side, "agent", service)
        self.sides[service].append(side)
        return side

    def _add(self, machine: Machine, role: str, service: str = "") -> None:
        told = self._roles[role]
        fields = {
            "nodeName": machine.name, "role": role, "ip": machine.address,
            "zone": machine.zone, "region": REGION, "bootstrap": True,
            "zones": {e: REGION for e in ZONES}, "seeds": self.seeds,
            "internalPorts": INTERNAL_PORTS, "heartbeatMs": 1200,
            "flowHash": "steady", "deployMode": "agent",
            "limits": {
                "cpuShare": 0.26, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 64,
            },
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "listen": {
                "datagramAddr": f"{machine.address}:{PACKETS}",
                "outbound": f"{machine.address}:{OUTBOUND}",
                "ready": f"{machine.address}:{READY}",
                "control": f"{machine.address}:{CONTROL}",
            },
        }  # fmt: skip
        if service:
            fields |= {"service": service, "app": f"{machine.address}:{APP}"}
        if role == "control" and machine.has_disk:
            data = self.folder / f"data-{machine.name}"
            data.mkdir()
            fields["dataDir"] = str(data)
        base = self.folder / f"{machine.name}-{role}"
        settings = base.with_suffix(".settings")
        text = (ROOT / told["template"]).read_text()
        settings.write_text(render(text, fields))
        command = told["run"].split()
        command = [str(settings) if e.startswith("/etc/") else e for e in command]
        machine.processes.append(
            Process(role, command, settings, base.with_suffix(".log"))
        )

    async def start(self) -> None:
        await asyncio.gather(*(e.start() for e in self.machines))

    def forget_bootstrap(self) -> None:
        """After the first start of all, `bootstrap` is false."""
        for machine in self.machines:
            for process in machine.processes:
                text = process.settings.read_text()
                process.settings.write_text(
                    re.sub(r'"may_found": true', '"may_found": false', text)
                )

    async def stop(self) -> None:
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
        await asyncio.gather(*(e.kill() for e in self.machines))

    def ended_alone(self) -> list[str]:
        return [
            f"{m.name}/{p.role} ended with {p.ended_with()}"
            for m in self.machines for p in m.processes
            if p.ended_with() is not None
        ]  # fmt: skip


def configuration(version: int, services: tuple[str, ...], routes: list[dict]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": e, "healthPath": "/health", "maxConnections": 2000,
                "protocol": "h1", "tls": False,
            }
            for e in services
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    }  # fmt: skip


def route(name: str, address: tuple[str, int], kind: str, **where) -> dict:
    return {
        "name": name, "hostname": address[0], "pathPrefix": f"/{address[1]}/",
        "routeType": kind, "timeoutMs": 2500, "aimMs": 150, "priority": 2,
        "attempts": 2, **where,
    }  # fmt: skip
