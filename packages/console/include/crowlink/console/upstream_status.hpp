#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>

namespace crowlink
{

// One upstream as control last heard of it.
struct upstream_status
{
    upstream_id id;
    service_id service;
    place_id where;
    upstream_state state = upstream_state::ready;
    // Time since its lease was last renewed.
    duration age{};

    friend auto operator<=>(const upstream_status&,
                            const upstream_status&) = default;
};

} // namespace crowlink
