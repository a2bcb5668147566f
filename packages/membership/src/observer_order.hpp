#pragma once

#include "crowlink/membership/observer_info.hpp"

#include <string_view>
#include <vector>

namespace crowlink::internal
{

// Control hosts in order of preference: those of the own region first, each
// group in rendezvous order by the asker's name. Thus askers are spread evenly,
// and the askers of a failed host are spread over the others.
std::vector<host_id> preference_order(std::string_view asker,
                                      const region_id& region,
                                      const std::vector<observer_info>& hosts);

// The index of a host in an order; 0 if it is not contained.
std::size_t index_in(const std::vector<host_id>& order, const host_id& host);

} // namespace crowlink::internal
