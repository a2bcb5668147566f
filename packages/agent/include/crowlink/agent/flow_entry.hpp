#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstdint>

namespace crowlink::internal
{

// What an agent keeps of a flow that it owns.
struct flow_entry
{
    flow_key key;
    // The balancer that the latest packet came through.
    endpoint return_to;
    // The generation of balancers that `return_to` was checked against.
    std::uint32_t return_checked = 0;
    time_point opened{};
    time_point active{};
    // The first and the latest caller's packet that wait for an answer.
    time_point waiting_since{};
    time_point waiting_latest{};
    // The number of those packets, and whether one surely needs an answer.
    std::uint16_t waiting = 0;
    bool answer_required = false;
    bool caller_finished = false;
    bool upstream_finished = false;
    // Whether the entry stays only for late packets of a flow that both ends
    // have finished. Set by the flow table.
    bool lingering = false;
    // Whether the flow is in the queue of the silence watch.
    bool watched = false;
    // Whether the flow is in the queue of renewals, and when it is due.
    bool renewing = false;
    time_point renew_at{};
    // Whether the flow is in the queue of redirects to send once more.
    bool repeating = false;
    // Whether a rival owner was told to yield; it stands by that.
    bool outlasts_rivals = false;
    // When the head of a packet that had to be looked up was last told.
    time_point head_told_at{};
    // The generation of tables that the redirects were checked against.
    std::uint32_t checked = 0;
    // Identifies the agents that were told of the flow; zero if none was.
    std::uint32_t told = 0;
};

} // namespace crowlink::internal
