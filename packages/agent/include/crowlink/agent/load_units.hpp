#pragma once

#include <cstdint>

namespace crowlink::internal
{

// Loads and shares are expressed in millionths.
inline constexpr std::uint32_t full_share = 1'000'000;

} // namespace crowlink::internal
