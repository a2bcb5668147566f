#pragma once

#include "crowlink/forwarding/packet_header.hpp"

#include <cstdint>
#include <span>

namespace crowlink
{

// A caller's packet on its way to the owner of its flow. The payload is what
// the upstream is to get: a UDP service's datagram, or for TCP the whole IP
// packet. It is a view into the buffer that the packet was read into.
struct forward_datagram
{
    packet_header header;
    std::span<const std::uint8_t> payload;
};

} // namespace crowlink
