#pragma once

#include <array>
#include <compare>
#include <cstdint>

namespace crowlink
{

// A key that authenticates datagrams, with the number that datagrams name it
// by.
struct datagram_key
{
    std::uint8_t id = 0;
    std::array<std::uint8_t, 16> bytes{};

    friend auto operator<=>(const datagram_key&, const datagram_key&) = default;
};

} // namespace crowlink
