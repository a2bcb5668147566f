#pragma once

#include "crowlink/agent/upstream_tracker.hpp"
#include "crowlink/model/service_view.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "shared/snapshot_slot.hpp"

#include <atomic>
#include <map>

namespace crowlink::internal
{

// What the control thread and one agent's thread hand to each other: only the
// newest of each, so that neither waits and nothing grows.
struct agent_exchange
{
    // From control.
    snapshot_slot<service_view> view;
    std::atomic<bool> leave{false};
    // Of an upstream that announces itself; null until it does.
    snapshot_slot<tracked_upstream> upstream;
    wake_event to_agent;
    // From the agent.
    std::atomic<bool> upstream_refuses{false};
    snapshot_slot<std::map<upstream_id, upstream_record>> wanted;
    // Shared, since the control thread ends before the agent's.
    snapshot_slot<wake_event> to_control;
};

} // namespace crowlink::internal
