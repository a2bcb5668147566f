#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/model/route_terms.hpp"

#include <cstdint>

namespace crowlink::internal
{

// Until when the request of an opening packet must be answered at the upstream.
struct opening_deadline
{
    // For its response to be within the aim of the route.
    time_point aim{};
    // By when a packet must be expected to be answered to be held as one in
    // time. Half of the aim is left for urgent packets that come later and
    // start before it, and for earlier attempts of the caller, which this
    // packet does not show.
    time_point entry{};
    // For its caller not to have given up.
    time_point last{};

    // `copy` is the number that the caller gave this copy of the packet.
    static opening_deadline of(time_point now, const route_terms& terms,
                               std::uint32_t copy);
};

} // namespace crowlink::internal
