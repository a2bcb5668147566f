#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// What became of the opening packets of one priority, since the agent's start.
struct opening_counts
{
    std::uint64_t held = 0;
    // Admitted after they were held.
    std::uint64_t started = 0;
    // Left to the next candidates when the upstream stopped taking flows.
    std::uint64_t passed_on = 0;
    std::uint64_t refused_too_late = 0;
    std::uint64_t refused_queue_full = 0;

    friend auto operator<=>(const opening_counts&,
                            const opening_counts&) = default;
};

} // namespace crowlink
