"""Tests of the proxy, with a server that echoes."""

import asyncio
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from link_proxy import Address, Link  # noqa: E402

LOOPBACK = "127.0.0.1"


async def echo(reader, writer) -> None:
    try:
        while data := await reader.read(100):
            writer.write(data)
    except ConnectionError:
        pass
    finally:
        writer.close()


async def free_port() -> int:
    server = await asyncio.start_server(echo, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


class ProxiedConnection(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(echo, LOOPBACK, 0)
        target = Address(LOOPBACK, self.server.sockets[0].getsockname()[1])
        listen = Address(LOOPBACK, await free_port())
        self.link = Link("client", "server", listen, target)
        await self.link.start()
        self.reader, self.writer = await asyncio.open_connection(
            listen.host, listen.port
        )

    async def asyncTearDown(self) -> None:
        self.writer.transport.abort()
        await self.link.stop()
        self.server.close()

    async def answered(self, text: bytes) -> bytes:
        self.writer.write(text)
        return await self.reader.readexactly(len(text))

    async def test_passes_what_both_ends_send(self) -> None:
        self.assertEqual(await self.answered(b"hello"), b"hello")

    async def test_delivers_what_was_held_once_it_heals(self) -> None:
        for way in (self.link.forward, self.link.back):
            way.hold()
            waiting = asyncio.ensure_future(self.answered(b"later"))
            # Some turns of the loop, in which nothing may come.
            for _ in range(50):
                await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            way.release()
            self.assertEqual(await waiting, b"later")

    async def test_ends_what_is_open_at_a_reset_and_takes_new_ones(self) -> None:
        self.assertEqual(await self.answered(b"hello"), b"hello")
        self.link.reset()
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self.answered(b"again")
        self.reader, self.writer = await asyncio.open_connection(
            self.link.listen.host, self.link.listen.port
        )
        self.assertEqual(await self.answered(b"anew"), b"anew")


if __name__ == "__main__":
    unittest.main()
