#pragma once

#include "crowlink/membership/observer_info.hpp"

#include <string_view>
#include <vector>

namespace crowlink::internal
{

// Control hosts in the order in which one asks them: those of the own region
// first, each part in rendezvous order by the asker's name, so that askers
// spread evenly and those of a dead host spread over the others.
std::vector<host_id> order_for(std::string_view asker, const region_id& region,
                               const std::vector<observer_info>& hosts);

// Where a host stands in an order; 0 if it is not there.
std::size_t place_in(const std::vector<host_id>& order, const host_id& host);

} // namespace crowlink::internal
