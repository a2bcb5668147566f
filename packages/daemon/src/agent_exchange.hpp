#pragma once

#include "crowlink/model/service_view.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "snapshot_slot.hpp"

#include <atomic>

namespace crowlink::internal
{

// What the control thread and one agent's thread hand to each other: only the
// newest of each, so that neither waits and nothing grows.
struct agent_exchange
{
    // From control.
    snapshot_slot<service_view> view;
    std::atomic<bool> leave{false};
    wake_event to_agent;
    // From the agent.
    snapshot_slot<upstream_record> wanted;
    // Shared, since the control thread ends before the agent's.
    snapshot_slot<wake_event> to_control;
};

} // namespace crowlink::internal
