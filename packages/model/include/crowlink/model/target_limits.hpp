#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// What one upstream of a service can take.
struct target_limits
{
    // Requests that run at the same time.
    std::uint32_t slots = 4;
    // Flows that are open at the same time.
    std::uint32_t connections = 2000;
    // New flows in any second while it is cold after its start; 0 for no bound.
    std::uint32_t cold_flows_per_second = 0;

    friend auto operator<=>(const target_limits&,
                            const target_limits&) = default;
};

} // namespace crowlink
