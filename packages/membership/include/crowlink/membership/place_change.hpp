#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// A whole place was lost or is back: one change for all of its members.
struct place_change
{
    place_id where;
    bool lost = false;

    friend auto operator<=>(const place_change&, const place_change&) = default;
};

} // namespace crowlink
