#pragma once

#include "crowlink/base/ids.hpp"

namespace crowlink
{

// A data centre and the region it lies in.
struct place
{
    place_id id;
    region_id region;

    friend auto operator<=>(const place&, const place&) = default;
};

} // namespace crowlink
