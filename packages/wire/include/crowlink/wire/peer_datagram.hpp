#pragma once

#include <cstdint>
#include <span>

namespace crowlink
{

// What one agent tells another: a message of proto/peer.proto. All of it is
// authenticated. A view into a buffer.
struct peer_datagram
{
    std::span<const std::uint8_t> message;
};

} // namespace crowlink
