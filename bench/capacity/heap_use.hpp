#pragma once

#include <cstddef>
#include <malloc.h>

namespace crowlink::capacity
{

// Bytes of the heap that are in use, as the C library counts them.
inline double heap_bytes()
{
    const struct mallinfo2 use = mallinfo2();
    return static_cast<double>(use.uordblks) + static_cast<double>(use.hblkhd);
}

} // namespace crowlink::capacity
