#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

class metrics;

// The counters of one egress scheduler.
struct egress_counts
{
    // Bytes that wait now.
    std::uint64_t small_queued_bytes = 0;
    std::uint64_t bulk_queued_bytes = 0;
    // Packets since the start.
    std::uint64_t small_queued = 0;
    std::uint64_t bulk_queued = 0;
    std::uint64_t small_dropped = 0;
    std::uint64_t bulk_dropped = 0;
    // Copies of packets that waited, which were not sent twice.
    std::uint64_t bulk_repeated = 0;
    std::uint64_t refused_flows = 0;

    friend auto operator<=>(const egress_counts&,
                            const egress_counts&) = default;
};

// Adds the counts to the metrics named crowlink_balancer_egress_*.
void add_to(metrics& target, const egress_counts& counts);

} // namespace crowlink
