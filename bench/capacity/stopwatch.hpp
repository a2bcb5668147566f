#pragma once

#include "measured_slope.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <limits>

namespace crowlink::capacity
{

// The processor time of this thread, so that what else the machine does counts
// little.
inline double thread_ns()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double ns_a_second = 1.0e9;
    return static_cast<double>(now.tv_sec) * ns_a_second +
           static_cast<double>(now.tv_nsec);
}

// Nanoseconds of processor time of one call of `work`, which does `batch`
// steps: the least of several rounds.
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
        const double start = thread_ns();
        work();
        best =
            std::min(best, (thread_ns() - start) / static_cast<double>(batch));
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
