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
    // Whether it is a copy of an opening packet: an earlier one may have opened
    // the flow already.
    bool is_repeated = false;
    // Whether the caller sends no more data.
    bool finishes = false;
};

} // namespace crowlink
