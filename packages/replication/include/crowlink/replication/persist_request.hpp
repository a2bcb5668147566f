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

// What storage must hold, synced, before it reports this sequence number as
// done. The core has at most one request out at a time.
struct persist_request
{
    std::uint64_t sequence = 0;
    // Written before the rest.
    std::optional<snapshot> new_snapshot;
    // The snapshot came from the leader: the log so far is void.
    bool discard_log = false;
    hard_state state;
    // The first one's index cuts off what the log held from there on.
    std::vector<log_entry> entries;

    friend auto operator<=>(const persist_request&,
                            const persist_request&) = default;
};

} // namespace crowlink::replication
