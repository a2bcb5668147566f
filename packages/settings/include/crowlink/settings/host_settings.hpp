#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// The host that a daemon runs on, and where that host stands.
struct host_settings
{
    host_id name;
    place_id place;
    region_id region;

    friend auto operator<=>(const host_settings&,
                            const host_settings&) = default;
};

} // namespace crowlink
