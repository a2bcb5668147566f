#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/model/place.hpp"
#include "crowlink/model/service.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// The operators' document: the whole truth about what the system should do.
// Upstreams are not listed in it; they announce themselves.
struct system_document
{
    std::vector<place> places;
    std::vector<service> services;
    // Upstreams that take no new flow, by the operators' decision.
    std::vector<upstream_id> drains;

    friend auto operator<=>(const system_document&,
                            const system_document&) = default;
};

} // namespace crowlink
