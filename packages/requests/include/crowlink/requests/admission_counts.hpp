#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

// Current state and running totals of a request_admission since its start.
struct admission_counts
{
    // Number of running requests and the sum of their weights; both exact.
    std::uint32_t running = 0;
    std::uint64_t running_weight = 0;
    std::size_t queued = 0;
    std::size_t sessions = 0;
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refused = 0;
    // Duplicate and late messages: parts of requests that are complete or
    // settled, late cancellations, and answers to runs that have ended or of
    // another incarnation. Includes sequences beyond the window.
    std::uint64_t duplicates = 0;
    // Datagrams that were malformed or reused a sequence for another request.
    std::uint64_t invalid = 0;

    friend auto operator<=>(const admission_counts&,
                            const admission_counts&) = default;
};

} // namespace crowlink
