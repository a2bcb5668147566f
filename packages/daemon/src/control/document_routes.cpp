#include "control/document_routes.hpp"

#include <map>
#include <utility>

namespace crowlink::internal
{

replication::route_table routes_of(const system_document& document)
{
    std::vector<replication::routed_service> routes;
    std::map<service_id, transport> protocols;
    for (const service& each : document.services)
    {
        protocols[each.id] = each.protocol;
        for (const endpoint& address : each.addresses)
        {
            routes.push_back(replication::routed_service{address, each.protocol,
                                                         each.id, 1});
        }
    }
    for (const route& each : document.routes)
    {
        for (const route_share& share : each.shares)
        {
            routes.push_back(replication::routed_service{
                each.address, protocols[share.service], share.service,
                share.weight});
        }
    }
    return replication::route_table(std::move(routes));
}

std::vector<former_service>
to_former_services(const replication::route_history::former_routes& routes)
{
    std::vector<former_service> services;
    if (routes == nullptr)
    {
        return services;
    }
    services.reserve(routes->size());
    for (const replication::former_route& each : *routes)
    {
        services.push_back(
            former_service{each.address, each.protocol, each.service});
    }
    return services;
}

} // namespace crowlink::internal
