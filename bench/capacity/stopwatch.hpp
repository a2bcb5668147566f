#pragma once

#include "measured_slope.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>

namespace crowlink::capacity
{

// Nanoseconds of one call of `work`, which does `batch` steps: the least of
// several rounds, so that what else the machine does counts little.
template <class Work>
double ns_a_step(const effort& limit, std::size_t batch, Work work)
{
    using clock = std::chrono::steady_clock;
    constexpr int least_rounds = 3;
    const auto begin = clock::now();
    double best = std::numeric_limits<double>::max();
    for (int round = 0;
         round < least_rounds ||
         std::chrono::duration<double>(clock::now() - begin).count() <
             limit.point_seconds;
         ++round)
    {
        const auto start = clock::now();
        work();
        const std::chrono::duration<double, std::nano> passed =
            clock::now() - start;
        best = std::min(best, passed.count() / static_cast<double>(batch));
    }
    return best;
}

// Keeps a result alive, so that the work for it is not optimised away.
template <class Value>
void keep(const Value& value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

} // namespace crowlink::capacity
