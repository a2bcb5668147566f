#include "process/allocator.hpp"

#include <cstdlib>
#include <malloc.h>

namespace crowlink::internal
{

namespace
{

// Packets take no memory, so that threads seldom wait for the heap's lock.
constexpr int most_arenas = 1;

} // namespace

void share_heap()
{
    const bool is_chosen = std::getenv("MALLOC_ARENA_MAX") != nullptr;
    if (!is_chosen)
    {
        ::mallopt(M_ARENA_MAX, most_arenas);
    }
}

} // namespace crowlink::internal
