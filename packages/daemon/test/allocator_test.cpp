#include "process/allocator.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <malloc.h>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace crowlink::internal
{

namespace
{

// The arenas that the C library tells of.
std::size_t count_arenas()
{
    char* text = nullptr;
    std::size_t size = 0;
    std::FILE* out = ::open_memstream(&text, &size);
    ::malloc_info(0, out);
    std::fclose(out);
    const std::string told(text, size);
    std::free(text);
    constexpr std::string_view arena = "<heap nr=";
    std::size_t count = 0;
    for (std::size_t at = told.find(arena); at != std::string::npos;
         at = told.find(arena, at + 1))
    {
        ++count;
    }
    return count;
}

// Guards against a process that needs the memory of a large document once for
// each of its threads, and is ended for it.
TEST(allocator, threads_share_one_heap)
{
    constexpr std::size_t thread_count = 8;
    const std::size_t before = count_arenas();
    share_heap();
    std::vector<std::string> kept(thread_count);
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::string& one : kept)
    {
        threads.emplace_back([&one] { one.assign(100'000, 'x'); });
    }
    for (std::thread& one : threads)
    {
        one.join();
    }
    EXPECT_LE(count_arenas(), std::max<std::size_t>(before, 1));
}

} // namespace

} // namespace crowlink::internal
