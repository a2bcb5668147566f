#pragma once

#include "crowlink/agent.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace crowlink::test
{

// Effects that are only recorded, for tests of a single agent.
class recording_effects
{
public:
    struct forwarded
    {
        endpoint to;
        packet_header header;
    };
    struct caller_notice
    {
        endpoint to;
        flow_key flow;
        flow_refusal told;
    };

    void deliver(const flow_key& flow, payload_view)
    {
        delivered.push_back(flow);
    }
    void forward(const endpoint& to, const packet_header& header, payload_view)
    {
        forwards.push_back(forwarded{to, header});
    }
    void answer(const endpoint& to, const flow_key&, payload_view)
    {
        answers.push_back(to);
    }
    void refuse(const endpoint& to, const flow_key& flow, payload_view,
                const flow_refusal& told)
    {
        refusals.push_back(caller_notice{to, flow, told});
    }
    void reset_caller(const endpoint& to, const flow_key& flow, payload_view,
                      const flow_refusal& told)
    {
        caller_resets.push_back(caller_notice{to, flow, told});
    }
    void reset_upstream(const flow_key& flow, refusal_reason)
    {
        upstream_resets.push_back(flow);
    }
    void close(const flow_key& flow) { closed.push_back(flow); }
    void send(const endpoint& to, const peer_message& message)
    {
        sent.emplace_back(to, message);
    }
    void announce(const upstream_record& record)
    {
        announced.push_back(record);
    }
    void decide(const flow_decision& decision)
    {
        decisions.push_back(decision);
    }

    std::vector<flow_key> delivered;
    std::vector<forwarded> forwards;
    std::vector<endpoint> answers;
    std::vector<caller_notice> refusals;
    std::vector<caller_notice> caller_resets;
    std::vector<flow_key> upstream_resets;
    std::vector<flow_key> closed;
    std::vector<std::pair<endpoint, peer_message>> sent;
    std::vector<upstream_record> announced;
    std::vector<flow_decision> decisions;
};

static_assert(agent_effects<recording_effects>,
              "the fake must satisfy what agents ask of effects");

} // namespace crowlink::test
