#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// An entry host and the capacity of its link, as all hosts of its data centre
// know it.
struct host_capacity
{
    host_id id;
    // Mbit/s, rounded, at least 1.
    std::uint32_t mbps = 0;

    friend auto operator<=>(const host_capacity&,
                            const host_capacity&) = default;
};

} // namespace crowlink
