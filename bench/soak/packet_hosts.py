"""Upstreams and callers of flow packets, as the platform's own would be.

    packet_hosts.py upstream NAME LISTEN ANNOUNCEMENTS SERVICE
    packet_hosts.py callers LISTEN SERVICE_ADDRESS FLOWS MESSAGES GAP_MS TRIES
        BALANCER...

An upstream announces itself to the agent beside it, answers for its health, and
returns packets of connections that it does not hold. Callers keep connections
open, and print what became of them as `crowlink_udp_callers` does.
"""

from __future__ import annotations

import asyncio
import json
import struct
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field, replace
from ipaddress import IPv4Address

# Flags, sequence, acknowledgement, checksum, note, destination, source, their
# ports, size of the data.
HEADER = struct.Struct(">BIIIIIIHHH")
OPENS, RESETS, ACKNOWLEDGES, RETURNED = 32, 16, 8, 1
ANNOUNCED_EACH_S = 1.0
# Until an agent answers.
REPEATED_EACH_S = 0.2
CALLERS_PATIENCE_S = 0.2
OPENING_COPIES = 3
# One request in so many takes longer than callers' patience, as behind others
# at a busy upstream.
SLOW_REQUEST_EACH = 8
SLOW_REQUEST_S = 0.45
SLOTS = 64

Address = tuple[str, int]


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass(frozen=True)
class Packet:
    flags: int
    source: Address
    destination: Address
    sequence: int = 0
    acknowledgement: int = 0
    note: int = 0
    data: bytes = b""

    def encoded(self) -> bytes:
        ends = (
            int(IPv4Address(self.destination[0])),
            int(IPv4Address(self.source[0])),
            self.source[1],
            self.destination[1],
        )
        numbers = (self.sequence, self.acknowledgement, 0, self.note)
        header = HEADER.pack(self.flags, *numbers, *ends, len(self.data))
        return header + self.data


def decoded(content: bytes) -> Packet:
    flags, sequence, acknowledgement, _, note, to, by, by_port, to_port, size = (
        HEADER.unpack_from(content)
    )
    return Packet(
        flags,
        (str(IPv4Address(by)), by_port),
        (str(IPv4Address(to)), to_port),
        sequence,
        acknowledgement,
        note,
        content[HEADER.size : HEADER.size + size],
    )


class Upstream(asyncio.DatagramProtocol):
    """Answers each request with its name and the request."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._open: set[tuple[Address, Address]] = set()
        # Requests that take their time; a copy of one starts no second one.
        self._running: set[tuple[Address, Address, int]] = set()

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, content: bytes, agent: Address) -> None:
        packet = decoded(content)
        flow = (packet.source, packet.destination)
        if packet.flags & RESETS:
            self._open.discard(flow)
            return
        if packet.flags & OPENS:
            self._open.add(flow)
        if flow not in self._open:
            returned = bytes([content[0] | RETURNED]) + content[1:]
            self._transport.sendto(returned, agent)
            return
        request = (*flow, packet.sequence)
        if request in self._running:
            return
        if not self._is_slow(packet):
            self._answer(packet, agent)
            return
        self._running.add(request)
        asyncio.get_running_loop().call_later(
            SLOW_REQUEST_S, self._finish, request, packet, agent
        )

    @staticmethod
    def _is_slow(packet: Packet) -> bool:
        number = int(packet.data or 1) + packet.source[1]
        return bool(packet.data) and number % SLOW_REQUEST_EACH == 0

    def _finish(self, request: tuple, packet: Packet, agent: Address) -> None:
        self._running.discard(request)
        self._answer(packet, agent)

    def _answer(self, packet: Packet, agent: Address) -> None:
        opens = packet.flags & OPENS
        data = self._name.encode() + b" " + packet.data if packet.data else b""
        answer = Packet(
            ACKNOWLEDGES | opens,
            packet.destination,
            packet.source,
            packet.acknowledgement,
            packet.sequence + len(packet.data) + (1 if opens else 0),
            data=data,
        )
        self._transport.sendto(answer.encoded(), agent)


async def serve_health(name: str, listen: Address) -> None:
    async def answer(reader, writer) -> None:
        # A probe of the port sends nothing.
        if await reader.readline():
            lines = ("HTTP/1.1 200 OK", f"X-Instance-Id: {name}",
                     "Content-Length: 0", "Connection: close")  # fmt: skip
            writer.write("".join(f"{e}\r\n" for e in lines).encode() + b"\r\n")
        writer.close()

    await asyncio.start_server(answer, *listen)


def announce(url: str, body: dict) -> bool:
    request = urllib.request.Request(url, json.dumps(body).encode())
    try:
        with urllib.request.urlopen(request, timeout=ANNOUNCED_EACH_S):
            return True
    except urllib.error.HTTPError as error:
        print(f"announcement_refused {error.read().decode()}", flush=True)
    except OSError:
        # Nothing listens: the agent is not running.
        pass
    return False


async def run_upstream(
    name: str, listen: str, announcements: str, service: str
) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: Upstream(name), local_addr=address(listen)
    )
    await serve_health(name, address(listen))
    url = f"http://{announcements}/api/instances/{name}/heartbeat"
    body = {
        "address": listen, "zone": "soak", "version": "1", "state": "ready",
        "slots": SLOTS, "warmupLeftMs": 0, "service": service,
        "born": int(time.time() * 1000), "sequence": 0,
    }  # fmt: skip
    while True:
        body["sequence"] += 1
        is_heard = await loop.run_in_executor(None, announce, url, body)
        await asyncio.sleep(ANNOUNCED_EACH_S if is_heard else REPEATED_EACH_S)


@dataclass
class Flow:
    """A connection from a port of its own, with one request at a time."""

    source: Address
    answers: asyncio.Queue = field(default_factory=asyncio.Queue)
    upstream: str = ""
    sequence: int = 1
    answered: int = 0


class Callers(asyncio.DatagramProtocol):
    """All flows share the address at which the callers' host takes packets."""

    def __init__(self, service: Address, balancers: list[Address]) -> None:
        self._service = service
        self._balancers = balancers
        self._sent = 0
        self._flows: dict[Address, Flow] = {}

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, content: bytes, _sender: Address) -> None:
        packet = decoded(content)
        if packet.destination in self._flows:
            self._flows[packet.destination].answers.put_nowait(packet)

    async def keep(
        self, source: Address, messages: int, gap_s: float, tries: int
    ) -> Flow:
        flow = self._flows[source] = Flow(source)
        if not await self._open(flow, tries):
            self._tell("unanswered", flow)
            return flow
        for number in range(messages):
            request = Packet(
                ACKNOWLEDGES, source, self._service, flow.sequence,
                data=f"{number}".encode(),
            )  # fmt: skip
            answer = await self._ask(flow, request, tries)
            if answer is None or answer.flags & RESETS:
                self._tell("reset" if answer else "unanswered", flow)
                return flow
            name = answer.data.decode().split()[0]
            if flow.upstream not in ("", name):
                self._tell("moved", flow, name)
            flow.upstream = name
            flow.sequence += len(request.data)
            flow.answered += 1
            await asyncio.sleep(gap_s)
        return flow

    async def _open(self, flow: Flow, tries: int) -> bool:
        """A connection that is refused has not run, and is tried again."""
        for _ in range(tries):
            opening = Packet(OPENS, flow.source, self._service, flow.sequence)
            flow.sequence += 1
            answer = await self._ask(flow, opening, OPENING_COPIES)
            if answer is not None and not answer.flags & RESETS:
                return True
            await asyncio.sleep(CALLERS_PATIENCE_S)
        return False

    async def _ask(self, flow: Flow, asked: Packet, tries: int) -> Packet | None:
        """Sends copies until the answer, which a reset is too, or None."""
        for copy in range(tries):
            if asked.flags & OPENS:
                asked = replace(asked, acknowledgement=min(copy, 2))
            self._sent += 1
            balancer = self._balancers[self._sent % len(self._balancers)]
            self._transport.sendto(asked.encoded(), balancer)
            end = time.monotonic() + CALLERS_PATIENCE_S
            while (left_s := end - time.monotonic()) > 0:
                try:
                    got = await asyncio.wait_for(flow.answers.get(), left_s)
                except asyncio.TimeoutError:
                    break
                is_answer = got.data.endswith(b" " + asked.data)
                if got.flags & RESETS or is_answer or asked.flags & OPENS:
                    return got
        return None

    def _tell(self, what: str, flow: Flow, answered_by: str = "") -> None:
        print(
            f"{what} from={flow.source[0]}:{flow.source[1]} "
            f"message={flow.answered} upstream={flow.upstream} "
            f"answered_by={answered_by}",
            flush=True,
        )


async def run_callers(
    listen: str, service: str, flows: str, messages: str, gap_ms: str,
    tries: str, *balancers: str,
) -> None:  # fmt: skip
    loop = asyncio.get_running_loop()
    _, callers = await loop.create_datagram_endpoint(
        lambda: Callers(address(service), [address(e) for e in balancers]),
        local_addr=address(listen),
    )
    host = address(listen)[0]
    kept = await asyncio.gather(
        *(
            callers.keep(
                (host, 20000 + number), int(messages), int(gap_ms) / 1000,
                int(tries),
            )
            for number in range(int(flows))
        )
    )  # fmt: skip
    answered = sum(flow.answered for flow in kept)
    print(f"flows={len(kept)} answered={answered} wrong_service=0", flush=True)


if __name__ == "__main__":
    programs = {"upstream": run_upstream, "callers": run_callers}
    asyncio.run(programs[sys.argv[1]](*sys.argv[2:]))
