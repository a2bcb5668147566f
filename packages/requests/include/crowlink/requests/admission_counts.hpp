#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

// What a request_admission holds now and has done since its start.
struct admission_counts
{
    // Requests that run, and the sum of their weights; exact.
    std::uint32_t running = 0;
    std::uint64_t running_weight = 0;
    std::size_t queued = 0;
    std::size_t sessions = 0;
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refused = 0;
    // Parts of requests known already.
    std::uint64_t duplicates = 0;
    // Datagrams that broke a rule.
    std::uint64_t invalid = 0;

    friend auto operator<=>(const admission_counts&,
                            const admission_counts&) = default;
};

} // namespace crowlink
