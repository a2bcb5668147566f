"""The operator and the callers of the whole deployment, and what they saw."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field

from whole_deployment import (
    ACKNOWLEDGES, APP, CONTROL, HEARTBEAT_S, OPENS, OUTBOUND, PACKETS, RESETS,
    Deployment, Packet, Upstream, decoded,
)  # fmt: skip

ANSWER_TIMEOUT_S = 1.0
ROUTE_TIMEOUT_S = 0.0005
FOLLOWED_REDIRECTS = 2
FIRST_BACKOFF_S, LONGEST_BACKOFF_S = 0.1, 1.0
ORDERS_AT_ONCE = 8
FINAL_STATUSES = (400, 409, 412, 413, 422)


@dataclass
class Answer:
    status: int | None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class HttpCaller:
    """Calls by HTTP; connections are closed, or kept open between calls."""

    def __init__(self, keeps_connections: bool) -> None:
        self._keeps = keeps_connections
        self._idle: dict[str, list] = {}

    def close(self) -> None:
        for links in self._idle.values():
            for _, writer in links:
                writer.close()
        self._idle.clear()

    async def call(self, host, verb, path, body=b"", timeout_s=ANSWER_TIMEOUT_S):
        try:
            return await asyncio.wait_for(
                self._call(host, verb, path, body), timeout_s
            )
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return Answer(None)

    async def _call(self, host, verb, path, body) -> Answer:
        idle = self._idle.setdefault(host, [])
        while idle:
            link = idle.pop()
            try:
                return await self._ask(link, host, verb, path, body)
            except (OSError, EOFError):
                link[1].close()
        link = await asyncio.open_connection(host, CONTROL)
        return await self._ask(link, host, verb, path, body)

    async def _ask(self, link, host, verb, path, body) -> Answer:
        reader, writer = link
        kept = False
        try:
            wanted = "keep-alive" if self._keeps else "close"
            head = (
                f"{verb} {path} HTTP/1.1\r\nHost: {host}:{CONTROL}\r\n"
                f"Connection: {wanted}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(
                (e.split(": ", 1)[0].lower(), e.split(": ", 1)[1])
                for e in lines[1:]
                if ": " in e
            )
            size = int(headers.get("content-length", 0))
            content = await reader.readexactly(size)
            kept = self._keeps and headers.get("connection") != "close"
            return Answer(int(lines[0].split()[1]), headers, content)
        finally:
            if kept:
                self._idle[host].append(link)
            else:
                writer.close()


@dataclass
class Order:
    version: int
    body: bytes
    content: dict
    sent_at: float
    added: int
    dropped: int | None
    # When it first left, after its turn among those in progress.
    first_sent_at: float = 0.0
    acknowledged_at: float | None = None
    acknowledged_by: str = ""


class Operator:
    """Sends changes without waiting for the ones before, as operators do."""

    def __init__(self, system: Deployment, source, clock, note, keeps: bool) -> None:
        self._system = system
        self._source: random.Random = source
        self._clock = clock
        self._note = note
        self._http = HttpCaller(keeps)
        self._turns = asyncio.Semaphore(ORDERS_AT_ONCE)
        self.orders: list[Order] = []
        self.refused: list[str] = []
        self.last_acknowledged: Order | None = None

    def close(self) -> None:
        self._http.close()

    def newest_acknowledged(self, before: float) -> Order | None:
        found = [
            e for e in self.orders
            if e.acknowledged_at is not None and e.acknowledged_at < before
        ]  # fmt: skip
        return max(found, key=lambda e: e.version, default=None)

    def acknowledged_since(self, moment: float) -> list[Order]:
        return [
            e for e in self.orders
            if e.acknowledged_at is not None and e.acknowledged_at >= moment
        ]  # fmt: skip

    def acknowledged_at(self, version: int) -> float:
        """When this version or a later one was first acknowledged."""
        return min(
            e.acknowledged_at for e in self.orders
            if e.version >= version and e.acknowledged_at is not None
        )  # fmt: skip

    def _pick(self) -> str:
        return self._source.choice(self._system.control).address

    async def follow(self, verb, path, body=b"", first="", timeout_s=ANSWER_TIMEOUT_S):
        """One call, with the redirects that a caller follows."""
        host = first or self._pick()
        answer = await self._http.call(host, verb, path, body, timeout_s)
        for _ in range(FOLLOWED_REDIRECTS):
            if answer.status != 307:
                break
            host = answer.headers["location"].split("/")[2].split(":")[0]
            answer = await self._http.call(host, verb, path, body, timeout_s)
        return host, answer

    async def send(self, order: Order) -> bool:
        self.orders.append(order)
        order.first_sent_at = self._clock()
        async with self._turns:
            order.first_sent_at = self._clock()
            return await self.send_again(order)

    async def send_again(self, order: Order, longest_s: float = 30.0) -> bool:
        """Sends it to one host after the other until it is taken or refused."""
        backoff = FIRST_BACKOFF_S
        timeout = ANSWER_TIMEOUT_S + ROUTE_TIMEOUT_S * len(order.content["routes"])
        until = self._clock() + longest_s
        others = 0
        while self._clock() < until:
            host, answer = await self.follow(
                "POST", "/api/config/replace", order.body, timeout_s=timeout
            )
            if answer.status == 200:
                if order.acknowledged_at is None:
                    order.acknowledged_at = self._clock()
                    order.acknowledged_by = host
                    self.last_acknowledged = order
                    took = order.acknowledged_at - order.sent_at
                    self._note(f"{order.version} acknowledged by {host} after {took:.2f}")
                return True
            others += answer.status is not None and 400 <= answer.status < 500
            if answer.status in FINAL_STATUSES or others == 3:
                self.refused.append(f"{order.version}: {answer.status} {answer.body!r}")
                return False
            await asyncio.sleep(backoff)
            backoff = min(LONGEST_BACKOFF_S, backoff * 1.5)
        return False

    async def read(self, first=""):
        """When it was asked, by whom it was answered, and the content."""
        asked = self._clock()
        host, answer = await self.follow("GET", "/api/config/read", first=first)
        found = json.loads(answer.body) if answer.status == 200 else None
        return asked, host, found


class Callers(asyncio.DatagramProtocol):
    """Opens flows at one balancer and tells which upstream took it."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._next_port = 20000
        self._waiting: dict[int, asyncio.Future] = {}

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, content: bytes, _sender) -> None:
        packet = decoded(content)
        waiting = self._waiting.pop(packet.destination[1], None)
        if waiting is not None and not waiting.done():
            waiting.set_result(packet)

    async def open(
        self, balancer: str, to: tuple[str, int], patient: bool = True
    ) -> str:
        """The number of the upstream, or `reset` or `silent`.

        Without patience the packet is sent once.
        """
        self._next_port = 20000 + (self._next_port - 19999) % 40000
        port = self._next_port
        got = self._waiting[port] = asyncio.get_running_loop().create_future()
        opening = Packet(OPENS, (self._address, port), to, sequence=1000)
        for wait_s in (0.2, 0.4, 0.8) if patient else (0.4,):
            self._transport.sendto(opening.encoded(), (balancer, PACKETS))
            try:
                packet = await asyncio.wait_for(asyncio.shield(got), wait_s)
            except asyncio.TimeoutError:
                continue
            if packet.flags & RESETS:
                return "reset"
            closing = Packet(
                ACKNOWLEDGES | RESETS, (self._address, port), to, sequence=1001,
                acknowledgement=packet.sequence + 1,
            )  # fmt: skip
            self._transport.sendto(closing.encoded(), (balancer, PACKETS))
            return str(packet.sequence)
        self._waiting.pop(port, None)
        return "silent"


async def run_upstream(number: int, name: str, service: str, host, taken) -> None:
    """An upstream beside its agent: flows, health and announcements."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: Upstream(number, taken), local_addr=(host.address, APP)
    )

    async def answer_health(reader, writer) -> None:
        if await reader.readline():
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
        writer.close()

    await asyncio.start_server(answer_health, host.address, APP)
    http = HttpCaller(False)
    body = {
        "service": service, "address": f"{host.address}:{APP}", "zone": host.zone,
        "version": "v1", "slots": 4, "state": "ready", "warmupLeftMs": 0,
        "sequence": 0,
    }  # fmt: skip
    while True:
        body["sequence"] += 1
        answer = await http.call(
            host.address, "POST", f"/api/instances/{name}/heartbeat",
            json.dumps(body).encode(),
        )  # fmt: skip
        await asyncio.sleep(HEARTBEAT_S if answer.status == 200 else 0.2)
