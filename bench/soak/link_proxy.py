"""A TCP proxy for one connection between two processes, with faults.

A link stands between a client that connects and a server that listens. Each of
its two directions can be held, as by a network that loses every packet: the
connection stays open and what was sent arrives once the direction is open
again, as repeated packets would. A link can also be slow, or reset what is
open.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, order=True)
class Address:
    """An IP address with a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Direction:
    """One way of a link."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self.delay_s = 0.0

    def hold(self) -> None:
        """Lets nothing through until `release`."""
        self._open.clear()

    def release(self) -> None:
        self._open.set()

    @property
    def is_held(self) -> bool:
        return not self._open.is_set()

    async def passed(self) -> None:
        """Returns once a chunk that came now may go on."""
        await self._open.wait()
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)


@dataclass
class Link:
    """The proxy of one pair; clients connect to `listen`."""

    client: str
    server: str
    listen: Address
    target: Address
    forward: Direction = field(default_factory=Direction)
    back: Direction = field(default_factory=Direction)

    def __post_init__(self) -> None:
        self._listener: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, self.listen.host, self.listen.port
        )

    async def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.reset()

    def cut(self) -> None:
        """Holds both directions."""
        self.forward.hold()
        self.back.hold()

    def heal(self) -> None:
        """Lets all through again, at once."""
        for direction in (self.forward, self.back):
            direction.delay_s = 0.0
            direction.release()

    def slow(self, delay_s: float) -> None:
        self.forward.delay_s = delay_s
        self.back.delay_s = delay_s

    def reset(self) -> None:
        """Ends the open connections as by a reset; new ones may follow."""
        for writer in list(self._open):
            end = writer.get_extra_info("socket")
            if end is not None and end.fileno() >= 0:
                end.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            writer.transport.abort()
        self._open.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The server refuses, or the run ends: the client sees its
            # connection end, which is all that there is to tell.
            pass
        finally:
            writer.transport.abort()
            self._open.discard(writer)
            self._tasks.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        await self.forward.passed()
        await self.back.passed()
        far_reader, far_writer = await asyncio.open_connection(
            self.target.host, self.target.port
        )
        self._open.add(far_writer)
        ways = [
            asyncio.ensure_future(
                self._pump(reader, far_writer, self.forward)
            ),
            asyncio.ensure_future(self._pump(far_reader, writer, self.back)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            far_writer.transport.abort()
            self._open.discard(far_writer)

    @staticmethod
    async def _pump(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await direction.passed()
            writer.write(data)
            await writer.drain()
