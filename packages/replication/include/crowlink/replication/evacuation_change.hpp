#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink::replication
{

// An operator's order to evacuate a data centre, or to end its evacuation.
// Orders carry no version. The host that accepts one therefore reads the
// revision of the evacuations at the leader, checks that the operator still
// waits for the answer, and proposes the order with that revision: an order
// that a later one overtook has no effect.
struct evacuation_change
{
    place_id where;
    // True to stop new flows to its upstreams, false to allow them again.
    bool evacuates = true;
    // The revision that was read when the order was accepted.
    std::uint64_t base = 0;
    std::string operator_name;
    // Unix milliseconds by the clock of the host that accepted the order. For
    // display only.
    std::int64_t ordered_at_ms = 0;

    friend auto operator<=>(const evacuation_change&,
                            const evacuation_change&) = default;
};

} // namespace crowlink::replication
