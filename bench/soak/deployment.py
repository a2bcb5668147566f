"""A whole system as processes on loopback, each control connection proxied."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from link_proxy import Address, Link
from process import Process, RunLog
from schedule import Hosts

REGION = "ncr"
PLACES = ("quezon", "pasig", "makati")
# A lease that ran out is judged within some 10 s.
LEASE_MS = 1800
ELECTION_MS = 300
# Ports of a run's own loopback address; links take those from FIRST_LINK on.
PEER, NODE, HTTP, TUNNEL, LISTEN, UPSTREAM = 3001, 3002, 3003, 3004, 3005, 3006
OUTBOUND, ANNOUNCEMENTS = 3007, 3008
SERVICE, GATEWAY, FIRST_LINK = 4001, 4100, 10001
# Callers of flow packets, balancers and agents take them at one port.
PACKETS = TUNNEL
PACKET_SERVICE, PACKET_ADDRESS = "packets", "198.18.0.1:443"
# What `number_of_service` makes of that name.
PACKET_SERVICE_NUMBER = 1797228155
PACKET_HOSTS = Path(__file__).with_name("packet_hosts.py")


@dataclass(frozen=True)
class Settings:
    """What a run is made of, apart from its events."""

    # Folders of crowlinkd, and of the stand-ins beside it.
    programs: Path
    tools: Path
    controls: int = 3
    balancers: int = 3
    agents: int = 6
    log_level: str = "info"
    # Agents whose upstreams announce themselves; a balancer stands before them.
    packet_agents: int = 0


def _names(role: str, count: int) -> tuple[str, ...]:
    return tuple(f"{role}-{number}" for number in range(1, count + 1))


class Deployment:
    """Control hosts, balancers and agents, an upstream a host of agents."""

    def __init__(
        self, settings: Settings, folder: Path, log: RunLog, run: int
    ) -> None:
        self._settings = settings
        self._folder = folder
        self._log = log
        self.hosts = Hosts(
            _names("control", settings.controls),
            _names("balancer", settings.balancers),
            _names("agent", settings.agents),
            _names("packet-agent", settings.packet_agents)
            + ("packet-balancer-1", "packet-callers-1"),
        )
        self.links: list[Link] = []
        self.processes: dict[str, Process] = {}
        self._next_link = FIRST_LINK
        # Runs that go on at once meet on no address.
        self._prefix = f"127.{1 + os.getpid() % 250}.{run % 250}"
        self.service = Address(f"{self._prefix}.1", SERVICE)

    def _address(self, host: str, port: int) -> Address:
        """Each host has an address of its own, as on machines."""
        names = ("fabric",) + sum(vars(self.hosts).values(), ())
        return Address(f"{self._prefix}.{1 + names.index(host)}", port)

    def _link(self, client: str, server: str, port: int) -> Address:
        listen = Address(f"{self._prefix}.1", self._next_link)
        self._next_link += 1
        target = self._address(server, port)
        self.links.append(Link(client, server, listen, target))
        return listen

    @property
    def has_packet_hosts(self) -> bool:
        return self._settings.packet_agents > 0

    def links_between(self, client: str, server: str) -> list[Link]:
        return [
            each
            for each in self.links
            if (each.client, each.server) == (client, server)
        ]

    def links_of(self, host: str) -> list[Link]:
        return [e for e in self.links if host in (e.client, e.server)]

    def peer_links(self, host: str) -> tuple[list[Link], list[Link]]:
        """Links between a control host and the others: its own, and theirs."""
        controls = self.hosts.control
        own = [e for e in self.links if e.client == host and e.server in controls]
        others = [
            e for e in self.links if e.server == host and e.client in controls
        ]
        return own, others

    async def start(self) -> None:
        """Starts everything, and returns once a document was taken."""
        self._make_operator()
        for name in self.hosts.agents:
            self._add_upstream(name)
        for name in self.hosts.control:
            self._add(name, self._control_settings(name))
        for name in self.hosts.balancers:
            self._add(name, self._balancer_settings(name))
        for name in self.hosts.agents:
            self._add(name, self._agent_settings(name))
        self._add_packet_hosts()
        self._add_fabric()
        for link in self.links:
            await link.start()
        for process in self.processes.values():
            await process.start()
        await self._declare_service()

    async def stop(self, signal_number, longest_s: float) -> dict[str, int | None]:
        """Ends all processes; yields the status of each."""
        names = list(self.processes)
        statuses = await asyncio.gather(
            *(self.processes[n].end(signal_number, longest_s) for n in names)
        )
        for link in self.links:
            await link.stop()
        return dict(zip(names, statuses))

    def _add(self, name: str, settings: dict) -> None:
        file = self._folder / f"{name}.jsonc"
        file.write_text(json.dumps(settings, indent=1))
        command = [str(self._settings.programs / "crowlinkd"), str(file)]
        self.processes[name] = Process(name, command, self._log)

    def _host(self, name: str) -> dict:
        place = PLACES[int(name.rpartition("-")[2]) % len(PLACES)]
        return {
            "host": {"name": name, "place": place, "region": REGION},
            "log": {"level": self._settings.log_level},
            "trusted_network": True,
            "lease_ms": LEASE_MS,
        }

    def _reached(self, client: str, server: str, port: int) -> dict:
        """A control host as a client of it knows it: at the proxy's address."""
        host = self._host(server)["host"]
        is_self = client == server
        address = (
            self._address(server, port)
            if is_self
            else self._link(client, server, port)
        )
        return {
            "host": server,
            "place": host["place"],
            "region": host["region"],
            "address": str(address),
        }

    def _control_settings(self, name: str) -> dict:
        control = {
            "data_folder": f"data-{name}",
            "peer_listen": str(self._address(name, PEER)),
            "node_listen": str(self._address(name, NODE)),
            "http": str(self._address(name, HTTP)),
            "tokens_file": "operators.jsonc",
            "election_ms": ELECTION_MS,
            "peers": [
                self._reached(name, peer, PEER) for peer in self.hosts.control
            ],
        }
        return {**self._host(name), "control": control}

    def _control_endpoints(self, name: str) -> list[dict]:
        return [
            self._reached(name, control, NODE) for control in self.hosts.control
        ]

    def _balancer_settings(self, name: str) -> dict:
        balancer = {
            "mode": "ip_in_udp",
            "listen": [str(self._address(name, LISTEN))],
            "tunnel": str(self._address(name, TUNNEL)),
            "gateway": str(self._address("fabric", GATEWAY)),
        }
        endpoints = self._control_endpoints(name)
        return {
            **self._host(name),
            "control_endpoints": endpoints,
            "balancer": balancer,
        }

    def _agent_settings(self, name: str) -> dict:
        agent = {
            "upstream": f"upstream-{name}",
            "service": 1,
            "upstream_address": str(self._address(name, UPSTREAM)),
            "tunnel": str(self._address(name, TUNNEL)),
            "drain_seconds": 1,
        }
        endpoints = self._control_endpoints(name)
        return {
            **self._host(name),
            "control_endpoints": endpoints,
            "agents": [agent],
        }

    def _add_packet_hosts(self) -> None:
        if self._settings.packet_agents == 0:
            return
        balancer = {
            "mode": "flow_packets",
            "listen": [str(self._address("packet-balancer-1", PACKETS))],
            "tunnel": str(self._address("packet-balancer-1", LISTEN)),
        }
        self._add_node("packet-balancer-1", {"balancer": balancer})
        for name in _names("packet-agent", self._settings.packet_agents):
            listen = str(self._address(name, UPSTREAM))
            announcements = str(self._address(name, ANNOUNCEMENTS))
            agent = {
                "delivery": "flow_packets",
                "service_name": PACKET_SERVICE,
                "upstream_address": listen,
                "tunnel": str(self._address(name, PACKETS)),
                "drain_seconds": 0,
                "flow_packets": {
                    "outbound": str(self._address(name, OUTBOUND)),
                    "announcements": announcements,
                    "health_path": "/health",
                },
            }
            self._add_node(name, {"agents": [agent]})
            self._add_packet_program(
                f"upstream-{name}",
                ("upstream", f"upstream-{name}", listen, announcements),
                PACKET_SERVICE,
            )

    def _add_node(self, name: str, role: dict) -> None:
        """A node as the platform's settings make it: it probes the others."""
        settings = {
            **self._host(name),
            "control_endpoints": self._control_endpoints(name),
            "reach_listen": str(self._address(name, NODE)),
            **role,
        }
        self._add(name, settings)

    def _add_packet_program(self, name: str, words: tuple, *rest: str) -> None:
        command = [sys.executable, str(PACKET_HOSTS), *words, *rest]
        self.processes[name] = Process(name, command, self._log)

    def packet_callers(
        self, flows: int, messages: int, gap_ms: int, tries: int
    ) -> Process:
        """A program of callers, not yet started; it ends by itself."""
        numbers = [str(e) for e in (flows, messages, gap_ms, tries)]
        command = [
            sys.executable, str(PACKET_HOSTS), "callers",
            str(self._address("packet-callers-1", PACKETS)), PACKET_ADDRESS,
            *numbers, str(self._address("packet-balancer-1", PACKETS)),
        ]  # fmt: skip
        return Process("packet-callers", command, self._log)

    def _add_upstream(self, agent: str) -> None:
        name = f"upstream-{agent}"
        command = [
            str(self._settings.tools / "crowlink_echo_upstream"),
            "--listen", str(self._address(agent, UPSTREAM)),
            "--service", "Hiraman", "--name", name,
        ]  # fmt: skip
        self.processes[name] = Process(name, command, self._log)

    def _add_fabric(self) -> None:
        command = [
            str(self._settings.tools / "crowlink_spray_fabric"), "--seed", "7",
            "--service", str(self.service),
            "--gateway", str(self._address("fabric", GATEWAY)),
        ]  # fmt: skip
        for name in self.hosts.balancers:
            command += ["--balancer", str(self._address(name, LISTEN))]
        self.processes["fabric"] = Process("fabric", command, self._log)

    def _client(self, *arguments: str) -> list[str]:
        command = [str(self._settings.tools.parent / "packages/client/crowlink")]
        return command + list(arguments)

    def _make_operator(self) -> None:
        minted = subprocess.run(
            self._client("token", "soak"),
            check=True, capture_output=True, text=True,
        ).stdout.splitlines()  # fmt: skip
        words = dict(line.split(maxsplit=1) for line in minted if " " in line)
        token = self._folder / "token"
        token.write_text(words["token"].strip() + "\n")
        operators = self._folder / "operators.jsonc"
        operators.write_text(f'{{"operators": [{words["entry"]}]}}\n')
        for file in (token, operators):
            file.chmod(0o600)

    async def _declare_service(self) -> None:
        document = {
            "regions": [{"name": REGION, "places": list(PLACES)}],
            "services": [
                {
                    "id": 1,
                    "name": "hiraman",
                    "protocol": "udp",
                    "addresses": [str(self.service)],
                    "cold_start_s": 0,
                },
                {
                    "id": PACKET_SERVICE_NUMBER,
                    "name": PACKET_SERVICE,
                    "protocol": "tcp",
                    "addresses": [PACKET_ADDRESS],
                    "cold_start_s": 0,
                },
            ],
        }
        file = self._folder / "services.jsonc"
        file.write_text(json.dumps(document))
        servers: list[str] = []
        for name in self.hosts.control:
            servers += ["--server", f"http://{self._address(name, HTTP)}"]
        command = self._client(
            "apply", *servers,
            "--token-file", str(self._folder / "token"), str(file),
        )  # fmt: skip
        while True:
            child = await asyncio.create_subprocess_exec(
                *command,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
            if await child.wait() == 0:
                return
            await asyncio.sleep(0.2)

    def callers(
        self, name: str, flows: int, messages: int, gap_ms: int, tries: int
    ) -> Process:
        """A program of callers, not yet started; it ends by itself."""
        command = [
            str(self._settings.tools / "crowlink_udp_callers"),
            "--service", f"Hiraman={self.service}",
            "--flows", str(flows), "--messages", str(messages),
            "--gap-ms", str(gap_ms), "--tries", str(tries),
        ]  # fmt: skip
        return Process(name, command, self._log)
