#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink::replication
{

// An operator's order about a data centre. Operators give orders no version.
// So whoever takes one first reads the revision of the evacuations at the
// leader, then makes sure that the operator still waits, and proposes the order
// with that revision: one that was overtaken on its way changes nothing.
struct evacuation_change
{
    place_id where;
    // Whether its upstreams get nothing new from now on, or may again.
    bool evacuates = true;
    // The revision that was read when the order was taken.
    std::uint64_t base = 0;
    std::string operator_name;
    // Unix milliseconds by the clock of the host that took the order; shown to
    // people, and nothing is decided by it.
    std::int64_t ordered_at_ms = 0;

    friend auto operator<=>(const evacuation_change&,
                            const evacuation_change&) = default;
};

} // namespace crowlink::replication
