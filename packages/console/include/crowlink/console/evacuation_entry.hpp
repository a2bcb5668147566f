#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink
{

// A data centre whose upstreams get nothing new, by an operator's order.
struct evacuation_entry
{
    place_id where;
    std::string author;
    // Seconds of Unix time at the host that took the order; for people only.
    std::int64_t ordered_at_s = 0;

    friend auto operator<=>(const evacuation_entry&,
                            const evacuation_entry&) = default;
};

} // namespace crowlink
