#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/replication/founding_settings.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

namespace crowlink::replication
{

// The configuration of a replica. The durations must be equal on all control
// hosts.
struct replica_settings
{
    host_id self;
    // The other control hosts; a host that is not a member sends them hello.
    std::vector<host_id> peers;
    // The initial voters: 1, 3 or 5 hosts, the same list on all of them. Used
    // only to bootstrap the log.
    std::vector<host_id> founding_voters;
    // Set in place of these where seeds choose the initial voters, and only on
    // hosts that take part in the first start.
    std::optional<founding_settings> founding;

    // Whether the leader admits peers that send hello with an empty disk, and
    // have never been members, as observers.
    bool admit_observers = true;

    duration heartbeat_interval = std::chrono::milliseconds(200);
    // How long a follower grants no vote after contact with a leader.
    duration election_timeout = std::chrono::milliseconds(1000);
    // Upper bound of the random addition to the timeout before a campaign.
    duration election_spread = std::chrono::milliseconds(500);
    // Maximum ratio of the rates of two hosts' monotonic clocks. The leader's
    // lease lasts election_timeout divided by this.
    double max_clock_ratio = 1.1;
    // A leader steps down if one of its own writes takes longer.
    duration storage_stall_timeout = std::chrono::milliseconds(2000);

    // Of the entries in one append message; a single entry may exceed it.
    std::size_t max_append_bytes = 256 * 1024;
    std::size_t max_payload_bytes = 4 * 1024 * 1024;
    // Further proposals are rejected until some have been committed.
    std::size_t max_uncommitted_bytes = 8 * 1024 * 1024;
    std::size_t snapshot_chunk_bytes = 64 * 1024;
    std::size_t max_snapshot_bytes = 256 * 1024 * 1024;
    // A snapshot is taken after this many entries, or bytes of entries.
    std::size_t compact_after_entries = 1024;
    std::size_t compact_after_bytes = 8 * 1024 * 1024;
    // Entries that are kept before a snapshot, for followers that lag slightly.
    std::size_t keep_entries = 64;

    friend auto operator<=>(const replica_settings&,
                            const replica_settings&) = default;
};

} // namespace crowlink::replication
