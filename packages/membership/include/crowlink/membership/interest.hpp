#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// What a node subscribes to. A balancer usually subscribes to all services, an
// agent to its own service and the balancers of its data centre.
struct interest
{
    bool all_services = false;
    // Sorted, without duplicates; ignored if all_services is set.
    std::vector<service_id> services;
    // Data centres whose balancers the node subscribes to, sorted.
    std::vector<place_id> balancers_in;
    // Data centres whose balancers the node learns without having them in its
    // views: their changes then do not remake any view.
    std::vector<place_id> unlisted_balancers_in;

    friend auto operator<=>(const interest&, const interest&) = default;
};

} // namespace crowlink
