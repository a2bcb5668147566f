#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/member_change.hpp"
#include "crowlink/replication/message.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace crowlink::replication
{

// What can happen to a replica.

// A message from a peer, already authenticated by the shell.
struct message_received
{
    replica_message message;
};

// Time has passed; due a few times in each heartbeat interval.
struct tick
{
};

// Bytes to append to the log. The request number is the caller's own.
struct propose
{
    std::uint64_t request = 0;
    std::string payload;
};

struct propose_membership
{
    std::uint64_t request = 0;
    member_change change;
};

// The persist request of this sequence number is held, synced.
struct storage_done
{
    std::uint64_t sequence = 0;
};

// Storage cannot hold what it was given; there is no way back but a restart.
struct storage_failed
{
    error cause;
};

// The state machine's bytes after the entry that take_snapshot named.
struct snapshot_taken
{
    log_index index = 0;
    std::string data;
};

using replica_event =
    std::variant<message_received, tick, propose, propose_membership,
                 storage_done, storage_failed, snapshot_taken>;

} // namespace crowlink::replication
