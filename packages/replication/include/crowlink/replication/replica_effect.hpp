#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/log_entry.hpp"
#include "crowlink/replication/message.hpp"
#include "crowlink/replication/persist_request.hpp"
#include "crowlink/replication/replica_role.hpp"
#include "crowlink/replication/snapshot.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace crowlink::replication
{

// What a replica wants done, in this order.

// May be lost, doubled or reordered on the way.
struct send_message
{
    replica_message message;
};

// To be answered by storage_done or storage_failed.
struct persist
{
    persist_request request;
};

// A committed entry for the state machine; each comes once, in order.
struct apply_entry
{
    log_entry entry;
};

// The state machine is to start anew from this.
struct install_snapshot
{
    snapshot taken;
};

// To be answered by snapshot_taken with the state after this entry.
struct take_snapshot
{
    log_index index = 0;
};

struct role_changed
{
    replica_role role = replica_role::follower;
    term_number term = 0;
    // Empty while unknown.
    host_id leader;
    std::string reason;
};

// The proposal is at this place in the log; it is committed if an entry of this
// term is applied there.
struct proposal_appended
{
    std::uint64_t request = 0;
    log_index index = 0;
    term_number term = 0;
};

// The proposal did not enter the log.
struct proposal_refused
{
    std::uint64_t request = 0;
    error cause;
};

using replica_effect =
    std::variant<send_message, persist, apply_entry, install_snapshot,
                 take_snapshot, role_changed, proposal_appended,
                 proposal_refused>;

} // namespace crowlink::replication
