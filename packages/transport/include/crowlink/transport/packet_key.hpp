#pragma once

#include <array>
#include <compare>
#include <cstdint>

namespace crowlink
{

// A key that authenticates packets between balancers and agents, with the
// number that packets name it by.
struct packet_key
{
    static constexpr std::size_t size = 16;

    std::uint8_t number = 0;
    std::array<std::uint8_t, size> bytes{};

    // A new key from libsodium's random source.
    static packet_key generate(std::uint8_t number);

    friend auto operator<=>(const packet_key&, const packet_key&) = default;
};

} // namespace crowlink
