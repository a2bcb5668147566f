#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// A resource limit of a deployment.
enum class limit : std::uint8_t
{
    entry_processor,
    entry_memory,
    entry_network,
    node_control_processor,
    node_control_memory,
    node_control_network,
    control_hosts,
    control_processor,
    control_memory,
    control_network,
    upstream_connections,
};

std::string_view to_string(limit value);

// The use of one limit by a plan, in the limit's unit.
struct limit_use
{
    limit which = limit::entry_processor;
    double used = 0.0;
    double allowed = 0.0;

    // The utilization; values above 1 exceed the limit.
    double share() const { return allowed > 0.0 ? used / allowed : 0.0; }

    friend bool operator==(const limit_use&, const limit_use&) = default;
};

} // namespace crowlink
