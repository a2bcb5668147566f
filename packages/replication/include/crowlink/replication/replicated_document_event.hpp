#pragma once

#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/evacuation_change.hpp"
#include "crowlink/replication/replica_effect.hpp"
#include "crowlink/replication/replica_event.hpp"

#include <cstdint>
#include <variant>

namespace crowlink::replication
{

// An operator's change; the request number is the caller's own and comes back
// with the answer.
struct propose_change
{
    std::uint64_t request = 0;
    document_change change;
};

// An operator's order about a data centre. Only the leader takes it; answered
// as propose_change is.
struct propose_evacuation
{
    std::uint64_t request = 0;
    evacuation_change change;
};

// What can happen to a replicated document.
using document_event =
    std::variant<message_received, tick, propose_change, propose_evacuation,
                 propose_membership, storage_done, storage_failed>;

// The answer to propose_change or propose_evacuation; exactly one comes for
// each.
struct change_answered
{
    std::uint64_t request = 0;
    change_outcome outcome;
};

// The answer to propose_membership: the change is in the leader's log, or the
// error that kept it out. The status shows when it is committed.
struct membership_answered
{
    std::uint64_t request = 0;
    result<void> outcome;
};

// This host now holds this version, committed and synced.
struct version_applied
{
    config_version version;
};

// This host now holds these evacuations, committed and synced.
struct evacuations_applied
{
    std::uint64_t revision = 0;
};

// What a replicated document wants done, in this order.
using document_effect =
    std::variant<send_message, persist, role_changed, change_answered,
                 membership_answered, version_applied, evacuations_applied>;

} // namespace crowlink::replication
