#pragma once

#include <cstdint>

namespace crowlink
{

// The number of allocations of this program so far.
std::uint64_t allocations();

} // namespace crowlink
