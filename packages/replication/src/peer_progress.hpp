#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/member.hpp"
#include "crowlink/replication/snapshot.hpp"

#include <cstdint>
#include <optional>

namespace crowlink::replication::internal
{

// The leader's view of another member. At most one message with entries or
// snapshot data is in flight to it; the reply to a heartbeat shows whether that
// message was lost.
struct peer_progress
{
    disk_id disk;
    log_index match = 0;
    log_index next = 1;
    // The highest commit index that was sent.
    log_index commit_sent = 0;
    // The send time of the newest message that it has acknowledged.
    std::optional<time_point> contact;
    time_point last_sent;
    // The send time of the data in flight.
    time_point data_sent;
    bool awaiting_reply = false;
    // The snapshot that is being sent, and the offset of the next chunk.
    std::optional<snapshot> sent_snapshot;
    std::uint64_t offset = 0;
};

} // namespace crowlink::replication::internal
