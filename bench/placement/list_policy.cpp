#include "list_policy.hpp"

#include <algorithm>
#include <random>

namespace crowlink::placement
{

namespace
{

constexpr duration lease = std::chrono::seconds(3);
constexpr duration retry_after = std::chrono::seconds(1);
constexpr std::size_t nobody = caller_flow::no_upstream;

} // namespace

list_policy::list_policy(simulation& world) : m_world(world), m_control(world)
{
    for (std::size_t index = 0; index < world.upstream_count(); ++index)
    {
        m_records.push_back(m_control.first_record(index, 1));
    }
    for (std::size_t which = 0; which < world.settings().balancers; ++which)
    {
        m_balancers.push_back(nullptr);
        add_balancer(which);
    }
}

void list_policy::add_balancer(std::size_t which)
{
    auto added = std::make_unique<balancer_node>();
    const std::size_t services = m_world.settings().services.size();
    added->views.resize(services);
    added->tables.resize(services);
    balancer_node* node = added.get();
    const bool naive = m_world.mode() == arm::naive;
    m_balancers[which] = std::move(added);
    node->subscription = m_control.subscribe(
        [node, naive](const fake_control::view_pointer& view)
        {
            const std::size_t service = view->declared.id.value() - 1;
            node->views[service] = view;
            if (!naive)
            {
                node->tables[service] = forwarding_table::build(*view);
            }
        });
}

std::size_t list_policy::choose(const balancer_node& at, const flow_key& flow,
                                std::size_t service) const
{
    const std::uint64_t hash = stable_hash(flow);
    if (m_world.mode() == arm::rendezvous)
    {
        const candidate_chain chain = at.tables[service]->chain(hash);
        return chain.empty() ? nobody : upstream_at(chain[0].agent);
    }
    std::vector<std::size_t> ready;
    for (const upstream_record& record : at.views[service]->members)
    {
        if (record.state == upstream_state::ready)
        {
            ready.push_back(upstream_at(record.agent));
        }
    }
    return ready.empty() ? nobody : ready[hash % ready.size()];
}

void list_policy::packet(const flow_key& flow, const packet_text& text)
{
    std::uniform_int_distribution<std::size_t> spray(0, m_balancers.size() - 1);
    const balancer_node* at = m_balancers[spray(m_world.random())].get();
    const std::size_t service = m_world.flow(text.flow).service;
    const std::size_t chosen =
        at == nullptr ? nobody : choose(*at, flow, service);
    if (chosen == nobody)
    {
        return;
    }
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay, [this, chosen, text]
                           { m_world.deliver(chosen, text); });
}

void list_policy::answered(std::size_t /*upstream*/, const flow_key& flow,
                           const packet_text& text)
{
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay, [this, flow, text]
                           { m_world.answer_caller(flow, text); });
}

void list_policy::refused(std::size_t /*upstream*/, const flow_key& flow,
                          const packet_text& text)
{
    const auto tell = [this, flow, text]
    {
        if (text.opens)
        {
            m_world.refuse_caller(flow, text.flow, verdict::not_run,
                                  retry_after);
            return;
        }
        m_world.reset_caller(flow, text.flow);
    };
    m_world.events().after(m_world.settings().host_delay, tell);
}

void list_policy::announce(std::size_t upstream, upstream_state state)
{
    upstream_record& record = m_records[upstream];
    ++record.sequence;
    record.state = state;
    m_control.publish(record);
}

void list_policy::started(std::size_t upstream)
{
    upstream_record& record = m_records[upstream];
    if (m_world.events().now() == time_point{})
    {
        return;
    }
    record.started = incarnation(record.started.value() + 1);
    announce(upstream, upstream_state::ready);
}

void list_policy::leaving(std::size_t upstream)
{
    announce(upstream, upstream_state::draining);
}

void list_policy::ended(std::size_t upstream)
{
    announce(upstream, upstream_state::gone);
}

void list_policy::crashed(std::size_t upstream)
{
    m_world.events().after(lease,
                           [this, upstream, life = m_records[upstream].started]
                           {
                               if (m_records[upstream].started == life)
                               {
                                   announce(upstream, upstream_state::gone);
                               }
                           });
}

void list_policy::balancer_replaced(std::size_t which)
{
    m_control.unsubscribe(m_balancers[which]->subscription);
    add_balancer(which);
}

void list_policy::balancer_crashed(std::size_t which)
{
    balancer_replaced(which);
}

} // namespace crowlink::placement
