#pragma once

#include "packet_text.hpp"
#include "simulation.hpp"

#include "crowlink/agent.hpp"

#include <cstddef>
#include <memory>

namespace crowlink::placement
{

class crowlink_policy;

// Binds one real agent to the simulation. Effects that reach the upstream
// happen as an event of their own, since they may not call the agent back.
class agent_shell
{
public:
    agent_shell(simulation& world, crowlink_policy& policy,
                std::size_t upstream, const agent_settings& settings);
    agent_shell(const agent_shell&) = delete;
    agent_shell& operator=(const agent_shell&) = delete;
    ~agent_shell();

    template <class Event>
    void handle(const Event& event)
    {
        m_agent.handle(m_world.events().now(), event, *this);
    }

    incarnation life() const { return m_life; }

    // The effects; see crowlink/agent/agent_effects.hpp.
    void deliver(const flow_key& flow, payload_view payload);
    void forward(const endpoint& to, const packet_header& header,
                 payload_view payload);
    void answer(const endpoint& to, const flow_key& flow, payload_view payload);
    void refuse(const endpoint& to, const flow_key& flow, payload_view payload,
                const flow_refusal& told);
    void reset_caller(const endpoint& to, const flow_key& flow,
                      payload_view payload, const flow_refusal& told);
    void reset_upstream(const flow_key& flow, refusal_reason reason);
    void close(const flow_key& /*flow*/) {}
    void send(const endpoint& to, const peer_message& message);
    void announce(const upstream_record& record);
    void decide(const flow_decision& /*decision*/) {}

private:
    simulation& m_world;
    crowlink_policy& m_policy;
    std::size_t m_upstream;
    std::size_t m_subscription = 0;
    incarnation m_life;
    agent m_agent;
};

} // namespace crowlink::placement
