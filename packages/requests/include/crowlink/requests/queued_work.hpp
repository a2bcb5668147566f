#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <vector>

namespace crowlink
{

// Index of a kind in its service's document.
using kind_index = std::uint32_t;

// A request that waits for a slot.
struct queued_work
{
    std::uint64_t job = 0;
    kind_index kind = 0;
    std::uint32_t weight = 1;
    // Rises with each arrival.
    std::uint64_t arrival = 0;

    friend auto operator<=>(const queued_work&, const queued_work&) = default;
};

// The waiting requests of one kind in the order of their arrival, and the sum
// of their weights.
struct kind_queue
{
    std::deque<queued_work> waiting;
    std::uint64_t weight = 0;
};

using kind_queues = std::vector<kind_queue>;

} // namespace crowlink
