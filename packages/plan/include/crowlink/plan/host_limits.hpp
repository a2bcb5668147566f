#pragma once

#include <cstdint>

namespace crowlink
{

// What one host offers, and what control may spend of it.
struct host_limits
{
    double cores = 4.0;
    double memory_bytes = 8.0e9;
    double network_bytes_per_second = 1.25e8;
    // The share of processor and network that is planned for; the rest is for
    // peaks within a second.
    double planned_share = 0.6;
    // For control on a node that is not set aside for it.
    double control_cores = 0.012;
    double control_memory_bytes = 64.0e6;
    double control_bytes_per_second = 20.0e3;
    // Hosts that may be set aside for control.
    std::uint64_t control_hosts = 20;

    friend bool operator==(const host_limits&, const host_limits&) = default;
};

} // namespace crowlink
