#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/packet_header.hpp"

#include <cstdint>
#include <span>

namespace crowlink
{

// A caller's packet as a port understood it.
struct caller_packet
{
    flow_key flow;
    packet_role role = packet_role::any;
    // What the upstream is to get: a UDP service's datagram, or for TCP the
    // whole IP packet. A view into the received bytes.
    std::span<const std::uint8_t> payload;
};

} // namespace crowlink
