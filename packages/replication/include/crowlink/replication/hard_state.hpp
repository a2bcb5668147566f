#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/replication/log_position.hpp"

#include <compare>
#include <cstdint>

namespace crowlink::replication
{

// What a replica must remember over restarts, besides the log.
struct hard_state
{
    term_number term = 0;
    // Whom it voted for in this term; empty for nobody.
    host_id vote;
    // Committed for certain; it may lag behind, never lead.
    log_index commit = 0;
    // Drawn when the log was founded; 0 before.
    std::uint64_t cluster = 0;
    // Who leads this term, or led it; empty until the leader was heard. Only
    // its lease can still bind this host: a term begins after all leases of
    // earlier ones have ended.
    host_id leader{};

    friend auto operator<=>(const hard_state&, const hard_state&) = default;
};

} // namespace crowlink::replication
