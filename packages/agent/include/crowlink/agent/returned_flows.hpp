#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <unordered_map>

namespace crowlink::internal
{

// Flows that the upstream beside this agent does not hold, since it returned a
// packet of them.
class returned_flows
{
public:
    // Long enough to try every agent that may have the flow, including the
    // caller's retransmissions in between.
    static constexpr duration lifetime = std::chrono::seconds(30);
    // Beyond this limit none is added: the flow is then tried here again.
    static constexpr std::size_t max_flows = 16384;

    void add(time_point now, const flow_key& flow);
    bool holds(const flow_key& flow) const { return m_until.count(flow) != 0; }
    void expire(time_point now);

private:
    std::unordered_map<flow_key, time_point> m_until;
};

} // namespace crowlink::internal
