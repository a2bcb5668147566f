#pragma once

#include <cstdint>
#include <string>

namespace crowlink
{

// The sizes of a deployment. All counts refer to the whole system.
struct deployment
{
    std::string name;
    std::uint64_t places = 1;
    std::uint64_t regions = 1;
    std::uint64_t services = 1;
    std::uint64_t upstreams = 1;
    // The number of existing entry hosts; 0 lets the plan compute the minimum.
    std::uint64_t entry_hosts = 0;
    // The maximum number of concurrent connections of one upstream.
    std::uint64_t connections_per_upstream = 2000;
    std::uint64_t open_flows = 0;
    double new_flows_per_second = 0.0;
    // Packets from callers; the plan assumes an equal rate of answers.
    double packets_per_second = 0.0;
    double bytes_per_packet = 0.0;
    std::uint64_t document_bytes = 0;
    double changes_per_day = 0.0;
    // Document changes per minute during a burst by an operator.
    double burst_changes_per_minute = 0.0;
    double restarts_per_day = 0.0;
    double failures_per_day = 0.0;

    friend bool operator==(const deployment&, const deployment&) = default;
};

} // namespace crowlink
