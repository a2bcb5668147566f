#include "heap_peak.hpp"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::size_t> held{0};
std::atomic<std::size_t> peak{0};

void update_peak(std::size_t bytes)
{
    std::size_t most = peak.load();
    while (bytes > most && !peak.compare_exchange_weak(most, bytes))
    {
    }
}

} // namespace

std::size_t crowlink::heap_bytes()
{
    return held.load();
}

std::size_t crowlink::heap_peak()
{
    return peak.load();
}

void crowlink::reset_heap_peak()
{
    peak.store(held.load());
}

void* operator new(std::size_t size)
{
    void* const memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    const std::size_t bytes = malloc_usable_size(memory);
    update_peak(held.fetch_add(bytes) + bytes);
    return memory;
}

void operator delete(void* memory) noexcept
{
    held.fetch_sub(malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}
