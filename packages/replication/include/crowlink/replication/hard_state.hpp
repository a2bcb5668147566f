#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/replication/log_position.hpp"

#include <compare>
#include <cstdint>

namespace crowlink::replication
{

// The state besides the log that a replica must keep across restarts.
struct hard_state
{
    term_number term = 0;
    // The candidate that it voted for in this term; empty if none.
    host_id vote;
    // A lower bound of the commit index; it may lag behind.
    log_index commit = 0;
    // Chosen when the log was bootstrapped; 0 before.
    std::uint64_t cluster = 0;
    // The leader of this term; empty until it has been heard from. Only the
    // lease of this leader can still bind this host: a term begins after the
    // leases of all earlier terms have ended.
    host_id leader{};

    friend auto operator<=>(const hard_state&, const hard_state&) = default;
};

} // namespace crowlink::replication
