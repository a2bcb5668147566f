#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// XXH3 of a text, equal on every host.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Mixes two numbers into one, equal on every host; the order matters.
std::uint64_t combine_hash(std::uint64_t first, std::uint64_t second);

} // namespace crowlink
