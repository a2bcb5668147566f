#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/member.hpp"
#include "crowlink/replication/snapshot.hpp"

#include <cstdint>
#include <optional>

namespace crowlink::replication::internal
{

// What a leader knows of one other member. At most one message with entries or
// snapshot bytes is out to it at a time; a heartbeat's answer shows whether
// that one was lost.
struct peer_progress
{
    disk_id disk;
    log_index match = 0;
    log_index next = 1;
    // The highest commit index that was sent.
    log_index commit_sent = 0;
    // When the newest message that it has answered was sent.
    std::optional<time_point> contact;
    time_point last_sent;
    // When the data that is out was sent.
    time_point data_sent;
    bool awaiting = false;
    // The snapshot that is on its way there, and how far it has come.
    std::optional<snapshot> sending;
    std::uint64_t offset = 0;
};

} // namespace crowlink::replication::internal
