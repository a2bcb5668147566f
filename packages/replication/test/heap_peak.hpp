#pragma once

#include <cstddef>

namespace crowlink
{

// The number of heap bytes that this process has currently allocated.
std::size_t heap_bytes();

// The maximum of heap_bytes() since the last call of reset_heap_peak().
std::size_t heap_peak();
void reset_heap_peak();

} // namespace crowlink
