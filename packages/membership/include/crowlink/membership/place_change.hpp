#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// A data centre was lost or has returned: one change for all of its members.
struct place_change
{
    place_id where;
    bool lost = false;

    friend auto operator<=>(const place_change&, const place_change&) = default;
};

} // namespace crowlink
