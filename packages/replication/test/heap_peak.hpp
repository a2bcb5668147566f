#pragma once

#include <cstddef>

namespace crowlink
{

// The bytes of the heap that this program holds.
std::size_t heap_bytes();

// The most that it held since the last call of reset_heap_peak.
std::size_t heap_peak();
void reset_heap_peak();

} // namespace crowlink
