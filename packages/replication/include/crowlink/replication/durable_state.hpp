#pragma once

#include "crowlink/replication/hard_state.hpp"
#include "crowlink/replication/log_entry.hpp"
#include "crowlink/replication/snapshot.hpp"

#include <compare>
#include <optional>
#include <vector>

namespace crowlink::replication
{

// All that a data folder held when it was opened.
struct durable_state
{
    disk_id disk;
    hard_state state;
    std::optional<snapshot> last_snapshot;
    // In order, without a gap, from after the snapshot.
    std::vector<log_entry> entries;

    friend auto operator<=>(const durable_state&,
                            const durable_state&) = default;
};

} // namespace crowlink::replication
