"""Packets of flows, as the platform's page on the wire has them."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field
from ipaddress import IPv4Address

# flags, seq, ack, sum, echo, dst, src, sport, dport, len
HEADER = struct.Struct(">BIIIIIIHHH")
SYN, RST, ACK, FIN, BOUNCED = 32, 16, 8, 2, 1
MOST_DATA = 1200
SUM_KEY = b"the ends alone know this"

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass(frozen=True)
class Packet:
    flags: int
    source: Address
    destination: Address
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    sum: int = field(default=0, compare=False)

    def keyed_sum(self) -> int:
        """Over all fields but `echo` and BOUNCED."""
        fields = (
            self.flags & ~BOUNCED, self.seq, self.ack, self.source,
            self.destination, self.data,
        )  # fmt: skip
        return zlib.crc32(SUM_KEY + repr(fields).encode()) or 1

    def encoded(self) -> bytes:
        return (
            HEADER.pack(
                self.flags, self.seq, self.ack, self.keyed_sum(), self.echo,
                int(IPv4Address(self.destination[0])),
                int(IPv4Address(self.source[0])),
                self.source[1], self.destination[1], len(self.data),
            )
            + self.data
        )  # fmt: skip

    @property
    def is_as_written(self) -> bool:
        return self.sum == self.keyed_sum()


def decoded(content: bytes) -> Packet:
    flags, seq, ack, total, echo, to, by, by_port, to_port, size = HEADER.unpack_from(
        content
    )
    return Packet(
        flags, (str(IPv4Address(by)), by_port), (str(IPv4Address(to)), to_port),
        seq, ack, content[HEADER.size : HEADER.size + size], echo, total,
    )  # fmt: skip
