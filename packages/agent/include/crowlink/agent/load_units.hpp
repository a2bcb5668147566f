#pragma once

#include <cstdint>

namespace crowlink::internal
{

// Loads and shares are expressed in millionths.
inline constexpr std::uint32_t full_share = 1'000'000;
// The service time relative to that of the peers is expressed in thousandths.
inline constexpr std::uint32_t equal_time = 1'000;

} // namespace crowlink::internal
