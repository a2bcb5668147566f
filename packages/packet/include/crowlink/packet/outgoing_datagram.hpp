#pragma once

#include "crowlink/base/endpoint.hpp"

#include <cstdint>
#include <span>

namespace crowlink
{

// What a socket is to send. The bytes are a view into the buffer that the port
// was given or into the answer itself.
struct outgoing_datagram
{
    // The local address to send from.
    endpoint from;
    endpoint to;
    std::span<const std::uint8_t> bytes;
};

} // namespace crowlink
