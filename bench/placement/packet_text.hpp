#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <span>

namespace crowlink::placement
{

// What a caller's packet and its answer carry: which flow, which request of
// the flow, and whether it is the flow's first or last.
struct packet_text
{
    std::uint32_t flow = 0;
    std::uint32_t sequence = 0;
    bool opens = false;
    bool finishes = false;
};

using packet_bytes = std::array<std::uint8_t, 10>;

inline packet_bytes to_bytes(const packet_text& text)
{
    packet_bytes bytes{};
    std::memcpy(bytes.data(), &text.flow, 4);
    std::memcpy(bytes.data() + 4, &text.sequence, 4);
    bytes[8] = static_cast<std::uint8_t>(text.opens);
    bytes[9] = static_cast<std::uint8_t>(text.finishes);
    return bytes;
}

inline packet_text from_bytes(std::span<const std::uint8_t> bytes)
{
    packet_text text;
    std::memcpy(&text.flow, bytes.data(), 4);
    std::memcpy(&text.sequence, bytes.data() + 4, 4);
    text.opens = bytes[8] != 0;
    text.finishes = bytes[9] != 0;
    return text;
}

} // namespace crowlink::placement
