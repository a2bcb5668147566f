#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <vector>

namespace crowlink
{

// Index of a kind in the document of its service.
using kind_index = std::uint32_t;

// A request that waits for a slot.
struct queued_work
{
    std::uint64_t job = 0;
    kind_index kind = 0;
    std::uint32_t weight = 1;
    // Arrival number; increases with each push.
    std::uint64_t arrival = 0;

    friend auto operator<=>(const queued_work&, const queued_work&) = default;
};

// The queued requests of one kind in the order of arrival, and the sum of their
// weights.
struct kind_queue
{
    std::deque<queued_work> waiting;
    std::uint64_t weight = 0;
};

using kind_queues = std::vector<kind_queue>;

} // namespace crowlink
