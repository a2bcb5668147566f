#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>

namespace crowlink
{

// The numbers of the RST segment that answers a segment.
struct tcp_reset
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;

    friend auto operator<=>(const tcp_reset&, const tcp_reset&) = default;
};

// The RST that answers the TCP segment in an IP packet, by RFC 9293, section
// 3.10.7.1. Empty if the packet is not a whole TCP segment, or itself an RST,
// which is never answered.
std::optional<tcp_reset>
reset_answering(std::span<const std::uint8_t> ip_packet);

} // namespace crowlink
