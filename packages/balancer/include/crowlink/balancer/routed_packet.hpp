#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstddef>

namespace crowlink
{

// A packet that was encoded into the caller's buffer.
struct routed_packet
{
    // The agent that it goes to.
    endpoint destination;
    // The bytes of the buffer to send.
    std::size_t size = 0;

    friend auto operator<=>(const routed_packet&,
                            const routed_packet&) = default;
};

} // namespace crowlink
