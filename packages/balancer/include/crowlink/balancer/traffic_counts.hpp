#pragma once

#include "crowlink/balancer/route_drop.hpp"
#include "crowlink/wire/datagram_drop.hpp"

#include <array>
#include <compare>
#include <cstdint>

namespace crowlink
{

class metrics;

// The counters of one traffic thread since its start.
struct traffic_counts
{
    std::uint64_t forwarded = 0;
    std::uint64_t forwarded_bytes = 0;
    std::uint64_t answers = 0;
    std::uint64_t notices = 0;
    // Datagrams of types that are not valid from an agent to a balancer.
    std::uint64_t misdirected = 0;
    // Indexed by route_drop.
    std::array<std::uint64_t, route_drop_count> route_drops{};
    // Indexed by datagram_drop.
    std::array<std::uint64_t, datagram_drop_count> datagram_drops{};

    friend auto operator<=>(const traffic_counts&,
                            const traffic_counts&) = default;
};

// Adds the counts to the metrics named crowlink_balancer_*.
void add_to(metrics& target, const traffic_counts& counts);

} // namespace crowlink
