#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// What a node wants to know. A balancer usually wants all services; an agent
// its own service and the balancers of its place.
struct interest
{
    bool all_services = false;
    // Sorted, without doubles; ignored where all_services is set.
    std::vector<service_id> services;
    // Places whose balancers the node wants to know, sorted.
    std::vector<place_id> balancers_in;

    friend auto operator<=>(const interest&, const interest&) = default;
};

} // namespace crowlink
