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

// The standard library takes temporary memory by this one.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept
{
    count.fetch_add(1);
    return std::malloc(size == 0 ? 1 : size);
}

void* operator new(std::size_t size)
{
    void* const memory = operator new(size, std::nothrow);
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

void operator delete(void* memory, const std::nothrow_t&) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
