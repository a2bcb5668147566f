#pragma once

#include <cstdint>

namespace crowlink
{

// The number of heap allocations of this program so far.
std::uint64_t allocation_count();

} // namespace crowlink
