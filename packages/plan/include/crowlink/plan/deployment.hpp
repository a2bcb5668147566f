#pragma once

#include <cstdint>
#include <string>

namespace crowlink
{

// The sizes of one deployment. All counts are of the whole system.
struct deployment
{
    std::string name;
    std::uint64_t places = 1;
    std::uint64_t regions = 1;
    std::uint64_t services = 1;
    std::uint64_t upstreams = 1;
    // Entry hosts that exist anyway; 0 asks the plan for the least number.
    std::uint64_t entry_hosts = 0;
    // Connections that one upstream takes at the same time.
    std::uint64_t connections_per_upstream = 2000;
    std::uint64_t open_flows = 0;
    double new_flows_per_second = 0.0;
    // Packets from callers; as many answers are assumed to go back.
    double packets_per_second = 0.0;
    double bytes_per_packet = 0.0;
    std::uint64_t document_bytes = 0;
    double changes_per_day = 0.0;
    // Changes of a minute with an operator's burst.
    double burst_changes_per_minute = 0.0;
    double restarts_per_day = 0.0;
    double failures_per_day = 0.0;

    friend bool operator==(const deployment&, const deployment&) = default;
};

} // namespace crowlink
