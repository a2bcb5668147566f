"""Who speaks with the system from outside: targets, clients, routers, operator."""

from __future__ import annotations

import asyncio
import json
import random
import time
import zlib
from dataclasses import dataclass, field

from packets import ACK, BOUNCED, FIN, MOST_DATA, RST, SYN, Address, Packet, decoded
from system import APP, CONTROL, OUTBOUND, PACKETS, READY, Machine, System

HEARTBEAT_S = 1.2
PATIENCE_S = 1.0
REPEAT_S, LONGEST_REPEAT_S = 0.2, 1.6
COPIES_AFTER_S = (0.2, 0.4, 0.8)
RESET_RANGE = 76_800
SEQ = 1 << 32


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = path.open("w", buffering=1)
        self._begin = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._begin

    def __call__(self, line: str) -> None:
        self._file.write(f"{self.now():8.3f} {line}\n")


# HTTP.


async def call(host: str, port: int, verb: str, path: str, body=b"", timeout=PATIENCE_S):
    """The status, the headers and the body; status 0 if there was no answer."""
    try:
        return await asyncio.wait_for(_call(host, port, verb, path, body), timeout)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return 0, {}, b""


async def _call(host, port, verb, path, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        head = (
            f"{verb} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {
            e.split(":", 1)[0].lower(): e.split(":", 1)[1].strip()
            for e in lines[1:] if ":" in e
        }  # fmt: skip
        content = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(lines[0].split()[1]), headers, content
    finally:
        writer.close()


class Operator:
    def __init__(self, system: System, record: Record, seed: int = 1):
        self._system = system
        self._record = record
        self._source = random.Random(seed)

    async def _follow(self, verb, path, body, timeout):
        host = self._source.choice(self._system.control).address
        for _ in range(3):
            got = await call(host, CONTROL, verb, path, body, timeout)
            if got[0] != 307:
                return host, got
            host = got[1]["location"].split("/")[2].split(":")[0]
        return host, got

    async def replace(self, content: dict, longest_s: float = 30.0) -> bool:
        """Sends a configuration until it is acknowledged or refused."""
        body = json.dumps(content).encode()
        until, backoff, others = self._record.now() + longest_s, 0.1, 0
        while self._record.now() < until:
            host, (status, _, answer) = await self._follow(
                "POST", "/api/config/replace", body,
                PATIENCE_S + 0.003 * len(content["routes"]),
            )  # fmt: skip
            self._record(f"operator: version {content['version']} to {host}: {status}")
            if status == 200:
                return True
            others += 400 <= status < 500
            if status in (400, 409, 412, 413, 422) or others == 3:
                self._record(f"operator: refused: {answer!r}")
                return False
            await asyncio.sleep(backoff)
            backoff = min(1.0, backoff * 1.5)
        return False

    async def read(self):
        _, (status, _, body) = await self._follow(
            "GET", "/api/config/read", b"", PATIENCE_S
        )
        return json.loads(body) if status == 200 else None


# Targets.


@dataclass
class Held:
    """One flow at a target."""

    own_seq: int
    next_seq: int
    is_open: bool = False
    answered: dict[int, bytes] = field(default_factory=dict)


class Target(asyncio.DatagramProtocol):
    """Answers each request after `work_s`; returns packets it does not hold."""

    def __init__(self, name: str, service: str, side: Machine, record: Record):
        self.name = name
        self.service = service
        self.side = side
        self.work_s = 0.03
        self.state = "ready"
        self.is_alive = True
        self.sequence = 0
        self.flows: dict[tuple[Address, Address], Held] = {}
        # Request ids in the order in which they began to run.
        self.runs: list[str] = []
        self.foreign: list[str] = []
        self._record = record
        self._source = random.Random(name)
        self._agent = (side.address, OUTBOUND)
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._socket, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.side.address, APP)
        )
        self._http = await asyncio.start_server(self._health, self.side.address, APP)
        self._tasks.append(asyncio.ensure_future(self._announce()))

    def crash(self) -> None:
        """Ends at once and discards its flows."""
        self.is_alive = False
        for task in self._tasks:
            task.cancel()
        self._socket.close()
        self._http.close()

    async def _health(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                f"Connection: close\r\n\r\n".encode()
            )
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _announce(self) -> None:
        while True:
            acknowledged = await self.announce()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)

    def announcement(self) -> dict:
        return {
            "service": self.service, "address": f"{self.side.address}:{APP}",
            "zone": self.side.zone, "version": "v1", "slots": 4,
            "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
        }  # fmt: skip

    async def announce(self) -> bool:
        self.sequence += 1
        status, _, _ = await call(
            self.side.address, CONTROL, "POST",
            f"/api/instances/{self.name}/heartbeat",
            json.dumps(self.announcement()).encode(),
        )  # fmt: skip
        return 200 <= status < 300

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, content: bytes, agent: Address) -> None:
        packet = decoded(content)
        if not packet.is_as_written:
            self.foreign.append(repr(packet))
        key = packet.source, packet.destination
        held = self.flows.get(key)
        if packet.flags & SYN:
            if held is None or held.is_open:
                held = Held(self._source.randrange(SEQ), (packet.seq + 1) % SEQ)
                self.flows[key] = held
            self._send(packet, SYN | ACK, held.own_seq, held.next_seq)
            return
        if held is None or (not held.is_open and packet.ack != (held.own_seq + 1) % SEQ):
            returned = bytes([content[0] | BOUNCED]) + content[1:]
            self._transport.sendto(returned, self._agent)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not held.is_open:
            held.is_open = True
            held.own_seq = (held.own_seq + 1) % SEQ
            self._record(f"{self.name}: flow {key[0][1]} is open")
        if packet.data:
            self._take(packet, held)
        if packet.flags & FIN:
            self._send(packet, FIN | ACK, held.own_seq, (packet.seq + 1) % SEQ)
            del self.flows[key]

    def _take(self, packet: Packet, held: Held) -> None:
        if packet.seq in held.answered:
            answer = held.answered[packet.seq]
            if answer:
                self._answer(packet, held, answer)
            return
        if packet.seq != held.next_seq:
            return
        held.next_seq = (packet.seq + len(packet.data)) % SEQ
        held.answered[packet.seq] = b""
        request = packet.data.decode()
        self.runs.append(request)
        self._record(f"{self.name}: runs {request}")
        asyncio.get_running_loop().call_later(
            self.work_s, self._finish, packet, held, request
        )

    def _finish(self, packet: Packet, held: Held, request: str) -> None:
        if not self.is_alive or self.flows.get((packet.source, packet.destination)) is not held:
            return
        answer = f"{self.name} {request}".encode()
        held.answered[packet.seq] = answer
        self._answer(packet, held, answer)

    def _answer(self, packet: Packet, held: Held, answer: bytes) -> None:
        before = sum(len(e) for s, e in held.answered.items() if s < packet.seq)
        seq = (held.own_seq + before) % SEQ
        self._send(packet, ACK, seq, (packet.seq + len(packet.data)) % SEQ, answer)

    def _send(self, packet: Packet, flags, seq, ack, data=b"") -> None:
        out = Packet(flags, packet.destination, packet.source, seq, ack, data)
        self._transport.sendto(out.encoded(), self._agent)


# Routers and clients.


class Router:
    """Hands a client's packets to the nodes in rotation in its zone."""

    def __init__(self, system: System, record: Record):
        self._record = record
        self._nodes = list(system.edges)
        self._misses = {e.name: 2 for e in self._nodes}

    def start(self) -> list[asyncio.Task]:
        return [asyncio.ensure_future(self._watch(e)) for e in self._nodes]

    async def _watch(self, node: Machine) -> None:
        while True:
            status, _, _ = await call(node.address, READY, "GET", "/api/ready", timeout=0.4)
            was_in = self._misses[node.name] < 2
            self._misses[node.name] = 0 if status == 200 else self._misses[node.name] + 1
            if was_in != (self._misses[node.name] < 2):
                self._record(f"router: {node.name} {'leaves' if was_in else 'joins'}")
            await asyncio.sleep(0.5)

    def is_in(self, node: Machine) -> bool:
        return self._misses[node.name] < 2

    def pick(self, zone: str, flow: tuple) -> Machine:
        """By the steady hash: only flows of a node that joins or leaves move."""
        mine = [e for e in self._nodes if e.zone == zone]
        ready = [e for e in mine if self.is_in(e)]
        if 2 * len(ready) < len(mine):
            ready = mine
        return max(ready, key=lambda e: zlib.crc32(f"{e.name}{flow}".encode()) * 2654435761 % SEQ)


class Flow:
    """A client's end of one flow."""

    def __init__(self, client: "Client", port: int, to: Address):
        self.client = client
        self.local = (client.address, port)
        self.to = to
        self.seq = (port * 7919) % SEQ
        self.ack = 0
        self.is_open = False
        self.was_reset_at: float | None = None
        self.target = ""
        self.waiting: asyncio.Future | None = None

    def send(self, flags: int, data: bytes = b"", ack: int | None = None) -> Machine:
        packet = Packet(
            flags, self.local, self.to, self.seq, self.ack if ack is None else ack, data
        )
        node = self.client.router.pick(self.client.zone, (self.local, self.to))
        self.client.transport.sendto(packet.encoded(), (node.address, PACKETS))
        return node

    def take(self, packet: Packet) -> None:
        if packet.flags & RST:
            distance = (packet.seq - self.ack) % SEQ
            near = min(distance, SEQ - distance) <= RESET_RANGE
            if self.is_open and not near:
                return
            self.was_reset_at = self.client.record.now()
            self.client.record(f"client: flow {self.local[1]} is reset")
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(packet)

    async def _next(self, seconds: float) -> Packet | None:
        self.waiting = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self.waiting, seconds)
        except asyncio.TimeoutError:
            return None

    async def open(self) -> bool:
        for copy, wait in enumerate(COPIES_AFTER_S):
            self.send(SYN, ack=copy)
            got = await self._next(wait)
            if got is None:
                continue
            if got.flags & RST:
                return False
            self.seq = (self.seq + 1) % SEQ
            self.ack = (got.seq + 1) % SEQ
            self.is_open = True
            return True
        return False

    async def request(self, request: str, deadline_s: float) -> str:
        """`answered`, `reset`, `foreign` or `silent`."""
        data = request.encode()
        assert len(data) <= MOST_DATA
        until, wait = self.client.record.now() + deadline_s, REPEAT_S
        node = self.send(ACK, data)
        self.client.record(
            f"client: flow {self.local[1]} sends {request} through {node.name}"
        )
        while (left := until - self.client.record.now()) > 0:
            got = await self._next(min(wait, left))
            if got is None:
                wait = min(LONGEST_REPEAT_S, 2 * wait)
                self.send(ACK, data)
                continue
            if got.flags & RST:
                if self.was_reset_at is not None:
                    return "reset"
                continue
            if not got.data or got.seq != self.ack:
                continue
            answer = got.data.decode()
            self.seq = (self.seq + len(data)) % SEQ
            self.ack = (self.ack + len(got.data)) % SEQ
            self.send(ACK)
            if not answer.endswith(" " + request):
                return "foreign"
            self.target = answer.split()[0]
            return "answered"
        return "silent"


class Client(asyncio.DatagramProtocol):
    def __init__(self, address: str, zone: str, router: Router, record: Record):
        self.address = address
        self.zone = zone
        self.router = router
        self.record = record
        self.foreign: list[str] = []
        self._flows: dict[int, Flow] = {}
        self._next_port = 20000

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, PACKETS)
        )

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, content: bytes, _sender) -> None:
        packet = decoded(content)
        flow = self._flows.get(packet.destination[1])
        if flow is None or packet.source != flow.to:
            self.foreign.append(repr(packet))
            return
        if not packet.is_as_written and not packet.flags & RST:
            self.foreign.append(repr(packet))
            return
        flow.take(packet)

    def flow(self, to: Address) -> Flow:
        self._next_port += 1
        made = self._flows[self._next_port] = Flow(self, self._next_port, to)
        return made
