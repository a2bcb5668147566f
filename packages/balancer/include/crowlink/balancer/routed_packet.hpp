#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstddef>

namespace crowlink
{

// A packet encoded into the buffer passed to `traffic_path::route`.
struct routed_packet
{
    // The address of the agent to send the packet to.
    endpoint destination;
    // The size of the encoded packet, in bytes.
    std::size_t size = 0;

    friend auto operator<=>(const routed_packet&,
                            const routed_packet&) = default;
};

} // namespace crowlink
