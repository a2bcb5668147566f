#pragma once

#include "crowlink/replication/routed_service.hpp"

#include <compare>
#include <memory>
#include <vector>

namespace crowlink::replication
{

// Where all addresses of one version of the document lead, sorted. Immutable,
// and shared by its copies. Tables compare by content.
class route_table
{
public:
    route_table() = default;
    explicit route_table(std::vector<routed_service> routes);

    const std::vector<routed_service>& routes() const;

    friend bool operator==(const route_table& one, const route_table& two)
    {
        return one.routes() == two.routes();
    }
    friend auto operator<=>(const route_table& one, const route_table& two)
    {
        return one.routes() <=> two.routes();
    }

private:
    std::shared_ptr<const std::vector<routed_service>> m_routes;
};

} // namespace crowlink::replication
