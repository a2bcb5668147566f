#pragma once

#include "crowlink/replication/hard_state.hpp"
#include "crowlink/replication/log_entry.hpp"
#include "crowlink/replication/snapshot.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace crowlink::replication
{

// Data that storage must make durable before it reports this sequence number as
// done. The core has at most one request in flight.
struct persist_request
{
    std::uint64_t sequence = 0;
    // Written before the rest.
    std::optional<snapshot> new_snapshot;
    // The snapshot came from the leader and replaces the log.
    bool discard_log = false;
    hard_state state;
    // Replace the entries of the log from the index of the first one on.
    std::vector<log_entry> entries;

    friend auto operator<=>(const persist_request&,
                            const persist_request&) = default;
};

} // namespace crowlink::replication
