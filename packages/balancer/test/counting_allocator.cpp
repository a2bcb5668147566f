#include "counting_allocator.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> count{0};

} // namespace

std::uint64_t crowlink::allocation_count()
{
    return count.load();
}

void* operator new(std::size_t size)
{
    count.fetch_add(1);
    void* const memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
