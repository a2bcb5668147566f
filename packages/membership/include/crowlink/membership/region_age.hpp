#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>

namespace crowlink
{

// A region that is cut off. Its records are as last known, this long ago.
struct region_age
{
    region_id region;
    duration age{};

    friend auto operator<=>(const region_age&, const region_age&) = default;
};

} // namespace crowlink
