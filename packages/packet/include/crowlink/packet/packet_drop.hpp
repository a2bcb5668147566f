#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// Why a port did not take a packet.
enum class packet_drop : std::uint8_t
{
    // Shorter than its own headers say.
    truncated,
    // A header contradicts itself or its checksum.
    malformed,
    // A fragment: its flow can't be told without the other ones.
    fragment,
    // Neither TCP nor UDP inside IPv4 or IPv6.
    unsupported,
    // An answer of another flow than the one that it is sent for.
    foreign,
    // The result does not fit the buffer or an IP packet.
    too_large,
    // The port has no way to say this to a caller.
    not_expressible,
};

constexpr std::size_t packet_drop_count = 7;

// The name used in metrics and logs.
std::string_view to_string(packet_drop reason);

} // namespace crowlink
