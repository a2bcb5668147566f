#pragma once

#include <cstdint>

namespace crowlink
{

// The capacity of one host, and the part of it that control may use.
struct host_limits
{
    double cores = 4.0;
    double memory_bytes = 8.0e9;
    double network_bytes_per_second = 1.25e8;
    // The target utilization of a host's processor, memory and network; the
    // rest is headroom for peaks shorter than a second.
    double planned_share = 0.6;
    // Limits of control on a node that is not a dedicated control host.
    double control_cores = 0.012;
    double control_memory_bytes = 64.0e6;
    double control_bytes_per_second = 20.0e3;
    // The maximum number of dedicated control hosts.
    std::uint64_t control_hosts = 20;

    friend bool operator==(const host_limits&, const host_limits&) = default;
};

} // namespace crowlink
