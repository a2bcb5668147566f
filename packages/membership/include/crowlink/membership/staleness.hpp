#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/region_age.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// The possible age of what a node knows.
struct staleness
{
    // Time since the publisher last confirmed that its document is the newest.
    duration document{};
    // Time since the node last heard its publisher.
    duration publisher{};
    std::vector<region_age> regions;

    friend auto operator<=>(const staleness&, const staleness&) = default;
};

} // namespace crowlink
