#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/region_age.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// How old a node's knowledge may be.
struct staleness
{
    // Since the publisher last knew its document to be the newest.
    duration document{};
    // Since the node last heard its publisher.
    duration publisher{};
    std::vector<region_age> regions;

    friend auto operator<=>(const staleness&, const staleness&) = default;
};

} // namespace crowlink
