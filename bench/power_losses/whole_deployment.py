"""All hosts of the users' deployment as processes on loopback.

Each host runs the roles that deploy/system.toml gives it, with settings that the
platform's templates make. Hosts with a disk run the recorded program.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
from dataclasses import dataclass, field
from pathlib import Path

from disk_model import Disk
from settings_template import render
from sync_delays import SyncDelays

sys.path.append(str(Path(__file__).resolve().parents[1] / "soak"))
from packet_hosts import ACKNOWLEDGES, OPENS, RESETS, RETURNED, Packet, decoded  # noqa: E402

ROOT = Path(__file__).resolve().parents[2]
TEMPLATES = ROOT / "platform" / "settings"
REGION = "bretagne"
ZONES = {"brest": REGION, "lorient": REGION, "saint-malo": REGION}
ENTRY_HOSTS = {"brest": 4, "lorient": 3, "saint-malo": 3}
UPSTREAM_HOSTS = {
    "registre": ("brest",) * 3 + ("lorient",) * 2 + ("saint-malo",) * 2,
    "bibliotheque": ("brest", "lorient", "saint-malo"),
}
# The control role runs on so many entry hosts of a data centre, from the first.
CONTROL_PER_ZONE = 2
INTERNAL_PORTS = [7720, 7735]
CONTROL, READY, PACKETS, OUTBOUND, APP = 8166, 8167, 8172, 8173, 8080
RESTART_DELAY_S = 0.5
HEARTBEAT_S = 1.2


@dataclass
class Process:
    """One role of one host; started again after a short delay when it ends."""

    name: str
    program: Path
    settings: Path
    log: Path
    environment: dict = field(default_factory=dict)
    child: asyncio.subprocess.Process | None = None
    ended_alone: list[str] = field(default_factory=list)

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                str(self.program), str(self.settings), stdout=log, stderr=log,
                cwd=ROOT, env={**os.environ, **self.environment},
            )  # fmt: skip

    async def kill(self) -> None:
        child, self.child = self.child, None
        if child is not None and child.returncode is None:
            child.kill()
        if child is not None:
            await child.wait()

    def has_ended(self) -> bool:
        return self.child is not None and self.child.returncode is not None


class Host:
    """A machine with its address, its processes and, where it has one, a disk."""

    def __init__(self, name: str, zone: str, address: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self._folder = folder
        self.processes: list[Process] = []
        self.disk: Disk | None = None
        self.has_control = False
        self.has_balancer = False
        self.is_down = False
        # Is told when its processes were started or killed.
        self.on_processes = None
        # Names other seeds at each start, once it is set.
        self.changes_seeds = None

    def add(self, role: str, program: Path, seeds: list[str], extra: dict) -> Process:
        listen = {
            "datagramAddr": f"{self.address}:{PACKETS}",
            "outbound": f"{self.address}:{OUTBOUND}",
            "control": f"{self.address}:{CONTROL}",
            "ready": f"{self.address}:{READY}",
        }
        fields = {
            "ip": self.address, "zone": self.zone, "region": REGION,
            "zones": ZONES, "seeds": seeds, "internalPorts": INTERNAL_PORTS,
            "listen": listen, "limits": {"linkMbps": 1000.0, "cpuShare": 0.45},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bootstrap": True, **extra,
        }  # fmt: skip
        prefix = self._folder / f"{self.name}.{role}"
        process = Process(
            f"{self.name}/{role}", program, prefix.with_suffix(f".{role}.jsonc"),
            prefix.with_suffix(f".{role}.log"),
        )  # fmt: skip
        template = (TEMPLATES / f"{role}.jsonc").read_text()
        process.settings.write_text(render(template, fields))
        self.processes.append(process)
        self._fields = fields
        self._template = template
        return process

    def _change_seeds(self) -> None:
        seeds = self.changes_seeds()
        for process in self.processes:
            text = process.settings.read_text()
            process.settings.write_text(
                re.sub(r'"hosts": \[[^]]*\]', f'"hosts": {json.dumps(seeds)}', text)
            )

    def forget_bootstrap(self) -> None:
        """After the first start of all, no host founds anything."""
        for process in self.processes:
            text = process.settings.read_text()
            process.settings.write_text(
                text.replace('"may_found": true', '"may_found": false')
            )

    def signal(self, number: int) -> None:
        for process in self.processes:
            if process.child is not None and process.child.returncode is None:
                process.child.send_signal(number)

    @property
    def share(self) -> float:
        """Of a core, as the deployment has it."""
        if self.disk is not None:
            return 0.45
        return 0.25 if self.has_balancer else 0.15

    async def start(self) -> None:
        self.is_down = False
        if self.changes_seeds:
            self._change_seeds()
        for process in self.processes:
            await process.start()
        self.tell_processes()

    def running(self) -> list[int]:
        """The ids of its processes."""
        return [
            e.child.pid for e in self.processes
            if e.child is not None and e.child.returncode is None
        ]  # fmt: skip

    def tell_processes(self) -> None:
        if self.on_processes is not None:
            self.on_processes(self)

    async def power_off(self) -> None:
        self.is_down = True
        for process in self.processes:
            await process.kill()
        self.tell_processes()
        if self.disk is not None:
            self.disk.read_notes()


class Deployment:
    def __init__(self, setup, folder: Path, prefix: str) -> None:
        self.hosts: list[Host] = []
        self.upstreams: list[tuple[str, str, Host]] = []
        self._prefix = prefix
        self._folder = folder
        self._setup = setup
        self.delays = SyncDelays(folder, setup.sync_delay_ms)
        entry = [
            (f"edge-{zone}-{number + 1}", zone, number)
            for zone, count in ENTRY_HOSTS.items()
            for number in range(count)
        ]
        for name, zone, number in entry:
            host = self._new_host(name, zone)
            host.has_balancer = True
            host.has_control = number < CONTROL_PER_ZONE
        with_disk = {zone: f"edge-{zone}-1" for zone in ZONES}
        listed = [e for e in self.hosts if e.has_control]
        if setup.seeds != "any":
            listed = [e for e in listed if e.name in with_disk.values()]
        seeds = [f"{e.address}:{CONTROL}" for e in setup.source.sample(listed, 3)]
        for host in self.hosts:
            host.add("balancer", setup.plain_program, seeds, {})
            if host.has_control and host.name == with_disk[host.zone]:
                self._add_disk_role(host, seeds)
            elif host.has_control:
                host.add("control", setup.plain_program, seeds, {})
        for service, zones in UPSTREAM_HOSTS.items():
            for number, zone in enumerate(zones):
                host = self._new_host(f"side-{service}-{number + 1}", zone)
                host.add(
                    "agent", setup.plain_program, seeds,
                    {"service": service, "app": f"{host.address}:{APP}"},
                )  # fmt: skip
                self.upstreams.append((f"i-{service}-{number}", service, host))

    def _new_host(self, name: str, zone: str) -> Host:
        address = f"{self._prefix}.{1 + len(self.hosts)}"
        self.hosts.append(Host(name, zone, address, self._folder))
        return self.hosts[-1]

    def _add_disk_role(self, host: Host, seeds: list[str]) -> None:
        data = self._folder / f"data-{host.name}"
        data.mkdir()
        notes = self._folder / f"notes-{host.name}"
        process = host.add(
            "control", self._setup.program, seeds, {"dataDir": str(data)}
        )
        process.environment = {
            "CROWLINK_DISK_NOTES": str(notes),
            "CROWLINK_SYNC_DELAYS": str(self.delays.file),
        }
        host.disk = Disk(data, notes)

    @property
    def core(self) -> list[Host]:
        return [e for e in self.hosts if e.disk is not None]

    @property
    def control(self) -> list[Host]:
        return [e for e in self.hosts if e.has_control]

    @property
    def balancers(self) -> list[Host]:
        return [e for e in self.hosts if e.has_balancer]

    async def start(self) -> None:
        await asyncio.gather(*(e.start() for e in self.hosts))

    def forget_bootstrap(self) -> None:
        for host in self.hosts:
            host.forget_bootstrap()
            if self._setup.seeds == "changing":
                host.changes_seeds = self._draw_seeds

    def _draw_seeds(self) -> list[str]:
        drawn = self._setup.source.sample(self.control, 3)
        return [f"{e.address}:{CONTROL}" for e in drawn]

    async def stop(self) -> None:
        await asyncio.gather(*(p.kill() for e in self.hosts for p in e.processes))


class Upstream(asyncio.DatagramProtocol):
    """Accepts flows; the sequence of its answer is its own number."""

    def __init__(self, number: int, seen) -> None:
        self._number = number
        self._seen = seen
        self._open: set = set()

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, content: bytes, agent) -> None:
        packet = decoded(content)
        flow = (packet.source, packet.destination)
        if packet.flags & RESETS:
            self._open.discard(flow)
            return
        if packet.flags & OPENS:
            self._open.add(flow)
            self._seen(self._number, packet)
        if flow not in self._open:
            self._transport.sendto(bytes([content[0] | RETURNED]) + content[1:], agent)
            return
        opens = packet.flags & OPENS
        answer = Packet(
            ACKNOWLEDGES | opens, packet.destination, packet.source,
            self._number, packet.sequence + len(packet.data) + (1 if opens else 0),
        )  # fmt: skip
        self._transport.sendto(answer.encoded(), agent)
