#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <vector>

namespace crowlink::replication
{

// What a replica is told by its host's settings. The times must be equal on all
// control hosts.
struct replica_settings
{
    host_id self;
    // The other control hosts; a host that is no member says hello to them.
    std::vector<host_id> peers;
    // The voters that the log is founded with: 1, 3 or 5, the same list on all
    // of them. Read only while nothing is founded.
    std::vector<host_id> founding_voters;

    // Whether the leader admits, as observers, peers that never were members
    // and say hello with an empty disk.
    bool admit_observers = true;

    duration heartbeat_interval = std::chrono::milliseconds(200);
    // How long a follower grants no vote after it heard from a leader.
    duration election_timeout = std::chrono::milliseconds(1000);
    // A follower waits a random part of this longer before it campaigns.
    duration election_spread = std::chrono::milliseconds(500);
    // How much faster one host's monotonic clock may run than another's. The
    // leader's lease lasts election_timeout divided by this.
    double max_clock_ratio = 1.1;
    // A leader whose own write takes longer steps down.
    duration storage_stall_timeout = std::chrono::milliseconds(2000);

    // Of one append message; a single entry may be larger.
    std::size_t max_append_bytes = 256 * 1024;
    std::size_t max_payload_bytes = 4 * 1024 * 1024;
    // Proposals beyond this are refused until some have been committed.
    std::size_t max_uncommitted_bytes = 8 * 1024 * 1024;
    std::size_t snapshot_chunk_bytes = 64 * 1024;
    std::size_t max_snapshot_bytes = 256 * 1024 * 1024;
    // A snapshot is taken after so many entries, or bytes of them.
    std::size_t compact_after_entries = 1024;
    std::size_t compact_after_bytes = 8 * 1024 * 1024;
    // So many entries stay behind a snapshot, for followers that lag a little.
    std::size_t keep_entries = 64;

    friend auto operator<=>(const replica_settings&,
                            const replica_settings&) = default;
};

} // namespace crowlink::replication
