#pragma once

#include "crowlink/plan/limit_use.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

class measured_costs;
struct deployment;
struct host_limits;

// The hosts that a deployment needs. "Entry" limits apply to one entry host
// after the loss of a data centre; "node" limits apply to the resources that
// control uses on an entry host; "control" limits apply to the busiest control
// host.
struct capacity_plan
{
    std::uint64_t entry_hosts = 0;
    std::uint64_t voters = 0;
    std::uint64_t observers = 0;
    // Whether the voters are also observers, since one host has the capacity
    // for both roles.
    bool shared = false;
    // The use of every limit, in descending order of utilization.
    std::vector<limit_use> limits;

    std::uint64_t control_hosts() const
    {
        return shared ? std::max(voters, observers) : voters + observers;
    }
    const limit_use& binding_limit() const { return limits.front(); }
    // Whether no limit is exceeded.
    bool feasible() const { return limits.front().share() <= 1.0; }

    friend bool operator==(const capacity_plan&,
                           const capacity_plan&) = default;
};

// Computes the hosts that a deployment needs.
capacity_plan make_plan(const deployment& sizes, const host_limits& host,
                        const measured_costs& costs);

// Formats the plan for operators, with one line per host type and limit.
std::string to_text(const deployment& sizes, const capacity_plan& plan);

} // namespace crowlink
