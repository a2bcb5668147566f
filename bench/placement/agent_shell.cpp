#include "agent_shell.hpp"

#include "crowlink_policy.hpp"
#include "fake_control.hpp"

#include <variant>

namespace crowlink::placement
{

agent_shell::agent_shell(simulation& world, crowlink_policy& policy,
                         std::size_t upstream, const agent_settings& settings)
    : m_world(world)
    , m_policy(policy)
    , m_upstream(upstream)
    , m_life(settings.self.started)
    , m_agent(settings, world.events().now())
{
    m_subscription = policy.control().subscribe(
        [this](const fake_control::view_pointer& view)
        {
            const std::size_t service = view->declared.id.value() - 1;
            if (service == m_world.service_of(m_upstream))
            {
                handle(view_changed{view});
            }
        });
}

agent_shell::~agent_shell()
{
    m_policy.control().unsubscribe(m_subscription);
}

void agent_shell::deliver(const flow_key& /*flow*/, payload_view payload)
{
    m_world.events().after(duration{}, [&world = m_world, upstream = m_upstream,
                                        text = from_bytes(payload)]
                           { world.deliver(upstream, text); });
}

void agent_shell::forward(const endpoint& to, const packet_header& header,
                          payload_view payload)
{
    m_policy.send_packet(to, header, from_bytes(payload));
}

void agent_shell::answer(const endpoint& to, const flow_key& flow,
                         payload_view payload)
{
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay,
                           [&world = m_world, &policy = m_policy, to, flow,
                            text = from_bytes(payload)]
                           {
                               if (policy.runs(to))
                               {
                                   world.answer_caller(flow, text);
                               }
                           });
}

void agent_shell::refuse(const endpoint& to, const flow_key& flow,
                         payload_view payload, const flow_refusal& told)
{
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay,
                           [&world = m_world, &policy = m_policy, to, flow,
                            told, text = from_bytes(payload)]
                           {
                               if (policy.runs(to))
                               {
                                   world.refuse_caller(flow, text.flow,
                                                       told.outcome,
                                                       told.retry_after);
                               }
                           });
}

void agent_shell::reset_caller(const endpoint& to, const flow_key& flow,
                               payload_view /*payload*/,
                               const flow_refusal& /*told*/)
{
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay,
                           [&world = m_world, &policy = m_policy, to, flow]
                           {
                               if (policy.runs(to))
                               {
                                   world.reset_caller(
                                       flow, simulation::index_of(flow));
                               }
                           });
}

void agent_shell::reset_upstream(const flow_key& flow,
                                 refusal_reason /*reason*/)
{
    m_world.events().after(duration{}, [&world = m_world, upstream = m_upstream,
                                        index = simulation::index_of(flow)]
                           { world.disconnect(upstream, index); });
}

void agent_shell::send(const endpoint& to, const peer_message& message)
{
    if (m_world.mode() == arm::no_redirects &&
        std::holds_alternative<redirect_notice>(message))
    {
        return;
    }
    m_policy.send_message(agent_address(m_upstream), to, message);
}

void agent_shell::announce(const upstream_record& record)
{
    m_policy.control().publish(record);
}

} // namespace crowlink::placement
