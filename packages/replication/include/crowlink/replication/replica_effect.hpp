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

// Effects that the caller must carry out, in this order.

// Messages may be lost, duplicated or reordered.
struct send_message
{
    replica_message message;
};

// Must be answered by storage_done or storage_failed.
struct persist
{
    persist_request request;
};

// A committed entry for the state machine; delivered once and in order.
struct apply_entry
{
    log_entry entry;
};

// Replaces the state of the state machine.
struct install_snapshot
{
    snapshot taken;
};

// Must be answered by snapshot_taken with the state after this entry.
struct take_snapshot
{
    log_index index = 0;
};

struct role_changed
{
    replica_role role = replica_role::follower;
    term_number term = 0;
    // Empty if unknown.
    host_id leader;
    std::string reason;
};

// The proposal was appended at this index; it is committed if an entry of this
// term is applied there.
struct proposal_appended
{
    std::uint64_t request = 0;
    log_index index = 0;
    term_number term = 0;
};

// The proposal was rejected and is not in the log.
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
