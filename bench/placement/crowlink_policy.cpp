#include "crowlink_policy.hpp"

#include <random>
#include <variant>

namespace crowlink::placement
{

namespace
{

constexpr duration lease = std::chrono::seconds(3);
constexpr duration retry_after = std::chrono::seconds(1);
// A replaced balancer forwards answers for so long after it left the fabric.
constexpr duration leaving_time = std::chrono::seconds(5);
// The fabric sprays over a dead balancer for so long.
constexpr duration fabric_delay = std::chrono::milliseconds(500);
constexpr duration never = std::chrono::hours(24);

key_ring bench_keys()
{
    return {};
}

} // namespace

crowlink_policy::crowlink_policy(simulation& world)
    : m_world(world)
    , m_control(world)
    , m_codec(bench_keys())
    , m_agents(world.upstream_count())
    , m_lives(world.upstream_count(), 0)
    , m_buffer(datagram_codec::buffer_size)
{
    sharing_policy sharing;
    sharing.cold_start = world.settings().cold_start;
    if (world.mode() == arm::no_hand_off)
    {
        sharing.candidates = 1;
    }
    if (world.mode() == arm::no_ramp)
    {
        sharing.cold_start = duration{};
    }
    m_control.set_sharing(sharing);
    for (std::size_t place = 0; place < world.settings().balancers; ++place)
    {
        m_fabric.push_back(0);
        add_balancer(place);
    }
}

void crowlink_policy::add_balancer(std::size_t place)
{
    const endpoint address = balancer_address(m_balancers.size());
    m_balancers.push_back(std::make_unique<balancer_node>(balancer_node{
        address, 0, balancer(), traffic_path(bench_keys(), address), true}));
    m_fabric[place] = m_balancers.size() - 1;
    balancer_node* node = m_balancers.back().get();
    node->subscription = m_control.subscribe(
        [this, node](const fake_control::view_pointer& view)
        {
            views_changed event;
            event.views.push_back(*view);
            node->control_side.handle(m_world.events().now(), event);
        });
    tell_balancers();
}

void crowlink_policy::tell_balancers()
{
    std::vector<endpoint> running;
    for (const auto& node : m_balancers)
    {
        if (node->running)
        {
            running.push_back(node->address);
        }
    }
    m_control.set_balancers(running);
}

bool crowlink_policy::runs(const endpoint& address) const
{
    for (const auto& node : m_balancers)
    {
        if (node->address == address)
        {
            return node->running;
        }
    }
    return false;
}

void crowlink_policy::stop(const endpoint& address)
{
    for (const auto& node : m_balancers)
    {
        if (node->address == address)
        {
            node->running = false;
            m_control.unsubscribe(node->subscription);
        }
    }
    tell_balancers();
}

void crowlink_policy::packet(const flow_key& flow, const packet_text& text)
{
    std::uniform_int_distribution<std::size_t> spray(0, m_fabric.size() - 1);
    balancer_node& at = *m_balancers[m_fabric[spray(m_world.random())]];
    if (!at.running)
    {
        return;
    }
    const packet_bytes payload = to_bytes(text);
    const caller_packet packet{
        flow, text.opens ? packet_role::opens : packet_role::continues,
        payload};
    const auto routed =
        at.traffic.route(*at.control_side.snapshot(), packet, m_buffer);
    if (!routed)
    {
        refuse_at_balancer(flow, text);
        return;
    }
    const auto read = m_codec.decode(std::span(m_buffer).first(routed->size));
    packet_header header = std::get<forward_datagram>(*read).header;
    if (m_world.mode() == arm::no_previous_chain)
    {
        header.previous = candidate_chain();
    }
    send_packet(routed->destination, header, text);
}

void crowlink_policy::refuse_at_balancer(const flow_key& flow,
                                         const packet_text& text)
{
    if (text.opens)
    {
        m_world.refuse_caller(flow, text.flow, verdict::not_run, retry_after);
        return;
    }
    m_world.reset_caller(flow, text.flow);
}

void crowlink_policy::send_packet(const endpoint& to,
                                  const packet_header& header,
                                  const packet_text& text)
{
    ++m_world.counts().host_datagrams;
    m_world.events().after(
        m_world.settings().host_delay,
        [this, to, header, text]
        {
            agent_shell* agent = m_agents[upstream_at(to)].get();
            if (agent != nullptr)
            {
                const packet_bytes payload = to_bytes(text);
                agent->handle(packet_arrived{
                    header, payload, answer_need::required, text.finishes});
            }
        });
}

void crowlink_policy::send_message(const endpoint& from, const endpoint& to,
                                   const peer_message& message)
{
    ++m_world.counts().host_datagrams;
    ++m_world.counts().control_datagrams;
    m_world.events().after(
        m_world.settings().host_delay,
        [this, from, to, message]
        {
            agent_shell* agent = m_agents[upstream_at(to)].get();
            if (agent != nullptr)
            {
                agent->handle(message_arrived{from, message});
            }
        });
}

void crowlink_policy::answered(std::size_t upstream, const flow_key& flow,
                               const packet_text& text)
{
    if (m_agents[upstream] != nullptr)
    {
        const packet_bytes payload = to_bytes(text);
        m_agents[upstream]->handle(
            upstream_answered{flow, payload, text.finishes});
    }
}

void crowlink_policy::refused(std::size_t upstream, const flow_key& flow,
                              const packet_text& /*text*/)
{
    if (m_agents[upstream] != nullptr)
    {
        m_agents[upstream]->handle(upstream_closed{flow, true});
    }
}

void crowlink_policy::work_started(std::size_t upstream)
{
    if (m_agents[upstream] != nullptr)
    {
        m_agents[upstream]->handle(crowlink::work_started{});
    }
}

void crowlink_policy::work_ended(std::size_t upstream, bool completed)
{
    if (m_agents[upstream] != nullptr)
    {
        m_agents[upstream]->handle(crowlink::work_ended{1, completed});
    }
}

agent_settings crowlink_policy::settings_of(std::size_t upstream) const
{
    agent_settings settings;
    settings.self = m_control.first_record(upstream, m_lives[upstream]);
    // An agent that restarts must be newer than itself before.
    settings.self.sequence = static_cast<std::uint64_t>(
        1 + m_world.events().now().time_since_epoch().count());
    settings.retry_after = retry_after;
    if (m_world.mode() == arm::no_stall_detection)
    {
        settings.stall_after = never;
    }
    return settings;
}

void crowlink_policy::started(std::size_t upstream)
{
    ++m_lives[upstream];
    const agent_settings settings = settings_of(upstream);
    m_agents[upstream] =
        std::make_unique<agent_shell>(m_world, *this, upstream, settings);
    m_control.publish(settings.self);
}

void crowlink_policy::leaving(std::size_t upstream)
{
    m_agents[upstream]->handle(leave_requested{});
}

void crowlink_policy::ended(std::size_t upstream)
{
    m_agents[upstream].reset();
    m_control.expire(upstream);
}

// The upstream's process ended; the agent beside it sees that at once.
void crowlink_policy::crashed(std::size_t upstream)
{
    m_agents[upstream]->handle(upstream_failed{});
    m_world.events().after(lease,
                           [this, upstream, life = m_lives[upstream]]
                           {
                               if (m_lives[upstream] == life)
                               {
                                   m_control.expire(upstream);
                               }
                           });
}

void crowlink_policy::agent_restarted(std::size_t upstream)
{
    const agent_settings settings = settings_of(upstream);
    m_agents[upstream] =
        std::make_unique<agent_shell>(m_world, *this, upstream, settings);
    m_agents[upstream]->handle(upstream_survived{});
    m_control.publish(settings.self);
}

void crowlink_policy::balancer_replaced(std::size_t which)
{
    const endpoint leaving = m_balancers[m_fabric[which]]->address;
    add_balancer(which);
    m_world.events().after(leaving_time, [this, leaving] { stop(leaving); });
}

void crowlink_policy::balancer_crashed(std::size_t which)
{
    stop(m_balancers[m_fabric[which]]->address);
    m_world.events().after(fabric_delay,
                           [this, which] { add_balancer(which); });
}

void crowlink_policy::tick()
{
    for (const auto& agent : m_agents)
    {
        if (agent != nullptr)
        {
            agent->handle(crowlink::tick{});
        }
    }
}

} // namespace crowlink::placement
