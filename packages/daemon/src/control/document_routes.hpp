#pragma once

#include "crowlink/model/system_document.hpp"
#include "crowlink/replication/route_history.hpp"

#include <vector>

namespace crowlink::internal
{

// Where the addresses of a document lead, as the log keeps it.
replication::route_table routes_of(const system_document& document);

// The services that the log remembers, as nodes are told them; `routes` may be
// null.
std::vector<former_service>
to_former_services(const replication::route_history::former_routes& routes);

} // namespace crowlink::internal
