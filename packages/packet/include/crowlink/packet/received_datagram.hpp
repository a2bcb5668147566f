#pragma once

#include "crowlink/base/endpoint.hpp"

#include <cstdint>
#include <span>

namespace crowlink
{

// What a socket received. The bytes are a view into the socket's buffer.
struct received_datagram
{
    endpoint from;
    // The local address that it was sent to.
    endpoint to;
    std::span<const std::uint8_t> bytes;
};

} // namespace crowlink
