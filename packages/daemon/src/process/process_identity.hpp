#pragma once

#include "crowlink/base/ids.hpp"

#include <cstdint>

namespace crowlink::internal
{

// Bits of the system's random source.
std::uint64_t random_bits();

// Unix time; for people and for rising numbers, never for intervals.
std::uint64_t wall_clock_ms();

// The incarnation of something that starts now; it rises over restarts.
incarnation fresh_incarnation();

} // namespace crowlink::internal
