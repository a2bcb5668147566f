"""The packets of callers and targets, as the pages give them.

The sum is keyed and opaque to the system; these stand-ins write a constant.
"""

import socket
import struct

HEAD = struct.Struct(">BIIII4s4sHHH")
SYN, ACK, RST, FIN, BOUNCED = 32, 8, 16, 2, 1
SUM = 0x5EED5EED


def pack(flags, seq, ack, echo, dst, dport, src, sport, data=b"", total=SUM):
    return (
        HEAD.pack(
            flags,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            total,
            echo,
            socket.inet_aton(dst),
            socket.inet_aton(src),
            sport,
            dport,
            len(data),
        )
        + data
    )


class Packet:
    def __init__(self, raw):
        (
            self.flags,
            self.seq,
            self.ack,
            self.sum,
            self.echo,
            dst,
            src,
            self.sport,
            self.dport,
            size,
        ) = HEAD.unpack_from(raw)
        self.dst = socket.inet_ntoa(dst)
        self.src = socket.inet_ntoa(src)
        self.data = raw[HEAD.size : HEAD.size + size]

    def has(self, flag):
        return self.flags & flag != 0
