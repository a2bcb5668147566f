#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// A control host that runs an observer and a publisher, as configured.
struct observer_info
{
    host_id id;
    place_id where;
    region_id region;

    friend auto operator<=>(const observer_info&,
                            const observer_info&) = default;
};

} // namespace crowlink
