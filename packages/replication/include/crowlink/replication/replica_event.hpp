#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/shared_text.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/replication/member_change.hpp"
#include "crowlink/replication/message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace crowlink::replication
{

// The inputs of a replica.

// A message from a peer, already authenticated by the caller.
struct message_received
{
    replica_message message;
};

// Time has passed; must come several times in each heartbeat interval.
struct tick
{
};

// This host did not run for so long, beyond the usual time between ticks. To be
// given before the tick that follows.
struct held_up
{
    duration length{};
};

// Bytes to append to the log. The caller chooses the request number.
struct propose
{
    std::uint64_t request = 0;
    shared_text payload;
};

struct propose_membership
{
    std::uint64_t request = 0;
    member_change change;
};

// The persist request of this sequence number is durable.
struct storage_done
{
    std::uint64_t sequence = 0;
};

// Storage failed; the replica stays failed until it is restarted.
struct storage_failed
{
    error cause;
};

// The serialized state after the entry that take_snapshot named.
struct snapshot_taken
{
    log_index index = 0;
    std::shared_ptr<const std::string> data;
};

using replica_event =
    std::variant<message_received, tick, held_up, propose, propose_membership,
                 storage_done, storage_failed, snapshot_taken>;

} // namespace crowlink::replication
