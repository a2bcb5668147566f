#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// An operator's order that a data centre's upstreams get nothing new, or may
// again. Given twice it has one effect.
struct evacuation_request
{
    place_id where;
    bool evacuates = true;
    std::string author;

    friend auto operator<=>(const evacuation_request&,
                            const evacuation_request&) = default;
};

} // namespace crowlink
