#pragma once

#include "crowlink/replication/hard_state.hpp"
#include "crowlink/replication/log_entry.hpp"
#include "crowlink/replication/snapshot.hpp"

#include <compare>
#include <optional>
#include <vector>

namespace crowlink::replication
{

// The contents of a data folder when it was opened.
struct durable_state
{
    disk_id disk;
    hard_state state;
    std::optional<snapshot> last_snapshot;
    // Contiguous and in order, starting after the snapshot.
    std::vector<log_entry> entries;

    friend auto operator<=>(const durable_state&,
                            const durable_state&) = default;
};

} // namespace crowlink::replication
