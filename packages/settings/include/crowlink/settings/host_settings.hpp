#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <optional>

namespace crowlink
{

// The host that a daemon runs on, and where that host stands.
struct host_settings
{
    host_id name;
    place_id place;
    region_id region;
    // The capacity of the host's link; balancers pace what they send to it.
    // Absent: they send at once and leave queueing to the link.
    std::optional<double> link_mbps{};
    // The part of a core that the host may use. Nothing depends on it yet.
    std::optional<double> cpu_share{};

    friend auto operator<=>(const host_settings&,
                            const host_settings&) = default;
};

} // namespace crowlink
