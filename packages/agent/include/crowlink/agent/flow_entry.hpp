#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstdint>

namespace crowlink::internal
{

// The state of a flow that the agent owns.
struct flow_entry
{
    flow_key key;
    // The balancer that the latest packet came through.
    endpoint return_to;
    // The generation of the view that `return_to` was checked against.
    std::uint32_t return_checked = 0;
    time_point opened{};
    time_point active{};
    // The times of the first and the latest packet of the caller that expect an
    // answer.
    time_point waiting_since{};
    time_point waiting_latest{};
    // The number of those packets, and whether one of them certainly needs an
    // answer.
    std::uint16_t waiting = 0;
    bool answer_required = false;
    bool caller_finished = false;
    bool upstream_finished = false;
    // Whether the entry stays only for late packets of a flow that both ends
    // have finished. Set by the flow table.
    bool lingering = false;
    // Whether the flow is in the queue of flows that wait for an answer.
    bool watched = false;
    // Whether the flow is in the renewal queue, and when its renewal is due.
    bool renewing = false;
    time_point renew_at{};
    // Whether the flow is in the queue of redirects to send a second time.
    bool repeating = false;
    // Whether the agent has told a competing owner to yield; it then keeps the
    // flow.
    bool is_ownership_settled = false;
    // When the head was last notified because a packet had to be looked up.
    time_point head_notified_at{};
    // The generation of tables that the redirects were checked against.
    std::uint32_t checked = 0;
    // Identifies the agents that were notified of the flow; zero if none was.
    std::uint32_t notified = 0;
};

} // namespace crowlink::internal
