#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>

namespace crowlink
{

// A region that is cut off. Its records are as old as this age.
struct region_age
{
    region_id region;
    duration age{};

    friend auto operator<=>(const region_age&, const region_age&) = default;
};

} // namespace crowlink
