#include "crowlink/replication/route_table.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication
{

route_table::route_table(std::vector<routed_service> routes)
{
    std::sort(routes.begin(), routes.end());
    m_routes =
        std::make_shared<const std::vector<routed_service>>(std::move(routes));
}

const std::vector<routed_service>& route_table::routes() const
{
    static const std::vector<routed_service> none;
    return m_routes == nullptr ? none : *m_routes;
}

} // namespace crowlink::replication
