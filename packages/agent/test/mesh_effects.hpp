#pragma once

#include "mesh.hpp"

#include <algorithm>
#include <cstring>

namespace crowlink::test
{

// The number of the request that a packet carries.
inline std::uint32_t request_of(payload_view payload)
{
    std::uint32_t number = 0;
    std::memcpy(&number, payload.data(), sizeof number);
    return number;
}

// Carries out an agent's effects in the mesh.
struct mesh::node_effects
{
    mesh& net;
    std::size_t index;

    void deliver(const flow_key& flow, payload_view payload)
    {
        net.run_at_upstream(index, flow, payload);
    }
    void forward(const endpoint& to, const packet_header& header,
                 payload_view payload)
    {
        ++net.forwards;
        const std::vector<std::uint8_t> bytes(payload.begin(), payload.end());
        net.over_network([this_net = &net, to, header, bytes]
                         { this_net->arrive(to, header, bytes); });
    }
    void answer(const endpoint& to, const flow_key& flow, payload_view)
    {
        const bool known = net.takes_answers(to);
        const std::uint32_t number = net.m_numbers.at(flow);
        if (known)
        {
            ++net.m_callers[number].answered;
        }
    }
    void refuse(const endpoint&, const flow_key& flow, payload_view payload,
                const flow_refusal& told)
    {
        caller_state& state = net.m_callers[net.m_numbers.at(flow)];
        ++state.refused;
        state.last_told = told;
        state.refused_requests.insert(request_of(payload));
    }
    void reset_caller(const endpoint&, const flow_key& flow, payload_view,
                      const flow_refusal& told)
    {
        caller_state& state = net.m_callers[net.m_numbers.at(flow)];
        ++state.reset;
        state.last_told = told;
        net.m_reference.erase(flow);
    }
    void reset_upstream(const flow_key& flow, refusal_reason)
    {
        net.m_nodes[index].open.erase(flow);
    }
    void close(const flow_key& flow) { net.m_nodes[index].open.erase(flow); }
    void send(const endpoint& to, const peer_message& message)
    {
        ++net.messages;
        const endpoint from = net.m_nodes[index].record.agent;
        net.over_network(
            [this_net = &net, to, from, message]
            {
                const std::size_t target = this_net->node_at(to);
                if (target < this_net->m_nodes.size())
                {
                    this_net->handle(target, message_arrived{from, message});
                }
            });
    }
    void announce(const upstream_record& record)
    {
        net.m_nodes[index].record = record;
        net.publish();
    }
    void decide(const flow_decision& decision)
    {
        net.decisions.push_back(decision);
    }
};

template <class Event>
void mesh::handle(std::size_t index, const Event& event)
{
    if (!m_nodes[index].alive)
    {
        return;
    }
    node_effects effects{*this, index};
    m_nodes[index].core->handle(m_now, event, effects);
}

} // namespace crowlink::test
