#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

struct route_terms;

// A packet encoded into the buffer passed to `traffic_path::route`.
struct routed_packet
{
    // The address of the agent to send the packet to.
    endpoint destination;
    // The size of the encoded packet, in bytes.
    std::size_t size = 0;
    std::uint64_t flow_hash = 0;
    // The terms of the route, valid as long as the forwarding set; null if they
    // are not known.
    const route_terms* terms = nullptr;

    friend auto operator<=>(const routed_packet&,
                            const routed_packet&) = default;
};

} // namespace crowlink
