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

// The hosts that a deployment needs. "Entry" values are of one entry host when
// a whole place is lost; "node" values are what control spends on one of them;
// "control" values are of the busiest control host.
struct capacity_plan
{
    std::uint64_t entry_hosts = 0;
    std::uint64_t voters = 0;
    std::uint64_t observers = 0;
    // Whether voters are observers too, since one host can carry both.
    bool shared = false;
    // Every limit, the one that binds first in front.
    std::vector<limit_use> limits;

    std::uint64_t control_hosts() const
    {
        return shared ? std::max(voters, observers) : voters + observers;
    }
    const limit_use& first_limit() const { return limits.front(); }
    // Whether no limit is passed.
    bool feasible() const { return limits.front().share() <= 1.0; }

    friend bool operator==(const capacity_plan&,
                           const capacity_plan&) = default;
};

// Works out the hosts that a deployment needs.
capacity_plan make_plan(const deployment& sizes, const host_limits& host,
                        const measured_costs& costs);

// The plan as an operator reads it, a line for each host kind and limit.
std::string to_text(const deployment& sizes, const capacity_plan& plan);

} // namespace crowlink
