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

// An operator's change. The caller chooses the request number, which the answer
// repeats.
struct propose_change
{
    std::uint64_t request = 0;
    document_change change;
};

// An operator's evacuation order. Only the leader accepts it; the answer is a
// change_answered.
struct propose_evacuation
{
    std::uint64_t request = 0;
    evacuation_change change;
};

// The inputs of a replicated document.
using document_event =
    std::variant<message_received, tick, held_up, propose_change,
                 propose_evacuation, propose_membership, storage_done,
                 storage_failed>;

// The answer to propose_change or propose_evacuation; each gets exactly one.
struct change_answered
{
    std::uint64_t request = 0;
    change_outcome outcome;
};

// The answer to propose_membership: success once the change is in the leader's
// log, else the reason of the rejection. The status shows when it is committed.
struct membership_answered
{
    std::uint64_t request = 0;
    result<void> outcome;
};

// This host has applied this version, which is committed and durable here.
struct version_applied
{
    config_version version;
};

// This host has applied the evacuations of this revision, which are committed
// and durable here.
struct evacuations_applied
{
    std::uint64_t revision = 0;
};

// Effects that the caller must carry out, in this order.
using document_effect =
    std::variant<send_message, persist, role_changed, change_answered,
                 membership_answered, version_applied, evacuations_applied>;

} // namespace crowlink::replication
