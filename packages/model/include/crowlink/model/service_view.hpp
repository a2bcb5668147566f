#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/model/service.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// One service and its members as a node knows them at one moment: the input of
// the forwarding tables. Drains of the document are already applied to the
// members' states.
struct service_view
{
    config_version version;
    service declared;
    // Sorted by id; members that are gone are left out.
    std::vector<upstream_record> members;
    // Where living balancers take answers for callers, sorted.
    std::vector<endpoint> balancers;

    friend auto operator<=>(const service_view&, const service_view&) = default;
};

} // namespace crowlink
