#include "mesh_effects.hpp"

#include <algorithm>
#include <cstring>

namespace crowlink::test
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(100);
constexpr duration upstream_time = std::chrono::milliseconds(2);

endpoint host(std::uint8_t group, std::size_t index)
{
    const std::array<std::uint8_t, 4> bytes{
        10, group, static_cast<std::uint8_t>(index >> 8U),
        static_cast<std::uint8_t>(index & 255U)};
    return endpoint{ip_address::from_v4(bytes), 4000};
}

} // namespace

mesh::mesh(const mesh_settings& settings)
    : m_settings(settings), m_random(settings.seed)
{
    m_nodes.reserve(4096);
    for (std::size_t i = 0; i < settings.balancers; ++i)
    {
        m_balancers.push_back(balancer{host(2, i), nullptr, nullptr, m_now});
    }
    for (std::size_t i = 0; i < settings.upstreams; ++i)
    {
        join();
    }
}

void mesh::run(duration time)
{
    const time_point end = m_now + time;
    while (!m_events.empty() && m_events.top().at <= end)
    {
        const timed_event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    m_now = end;
}

void mesh::at(time_point when, std::function<void()> run)
{
    m_events.push(timed_event{when, m_order++, std::move(run)});
}

void mesh::over_network(std::function<void()> run)
{
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (chance(m_random) >= m_settings.loss)
    {
        at(m_now + draw(m_settings.min_delay, m_settings.max_delay),
           std::move(run));
    }
}

duration mesh::draw(duration least, duration most)
{
    std::uniform_int_distribution<duration::rep> drawn(least.count(),
                                                       most.count());
    return duration(drawn(m_random));
}

flow_key mesh::key(std::uint32_t flow)
{
    const endpoint caller{host(3, flow >> 8U).address,
                          static_cast<std::uint16_t>(1024 + (flow & 0xffU))};
    return flow_key{caller, host(1, 1), transport::udp};
}

std::uint32_t mesh::call(std::uint32_t flow, packet_role role)
{
    const std::uint32_t request = ++m_requests;
    const flow_key key_now = key(flow);
    m_numbers[key_now] = flow;
    ++m_callers[flow].sent;
    std::uniform_int_distribution<std::size_t> sprayed(0,
                                                       m_balancers.size() - 1);
    const balancer& through = m_balancers[sprayed(m_random)];
    if (!through.current)
    {
        return request;
    }
    packet_header header;
    header.service = m_settings.declared.id;
    header.table = through.current->digest();
    header.flow = key_now;
    header.role = role;
    header.return_to = through.address;
    header.current = through.current->chain(stable_hash(key_now));
    if (through.previous)
    {
        header.previous = through.previous->chain(stable_hash(key_now));
    }
    if (header.previous == header.current)
    {
        header.previous = candidate_chain();
    }
    const candidate& head =
        header.current.empty() ? header.previous[0] : header.current[0];
    std::vector<std::uint8_t> payload(sizeof request);
    std::memcpy(payload.data(), &request, sizeof request);
    over_network([this, to = head.agent, header, payload]
                 { arrive(to, header, payload); });
    return request;
}

void mesh::arrive(const endpoint& to, const packet_header& header,
                  const std::vector<std::uint8_t>& payload)
{
    const std::size_t target = node_at(to);
    if (target < m_nodes.size())
    {
        handle(target, packet_arrived{header, payload});
    }
}

std::size_t mesh::node_at(const endpoint& address) const
{
    const auto found =
        std::find_if(m_nodes.begin(), m_nodes.end(),
                     [&address](const member_node& other)
                     { return other.alive && other.record.agent == address; });
    return static_cast<std::size_t>(found - m_nodes.begin());
}

void mesh::run_at_upstream(std::size_t index, const flow_key& flow,
                           payload_view payload)
{
    member_node& here = m_nodes[index];
    const std::pair<std::size_t, std::uint64_t> place{
        index, here.record.started.value()};
    const auto found = m_reference.emplace(flow, place).first;
    if (found->second != place)
    {
        ++misplaced;
    }
    here.open.insert(flow);
    here.requests.insert(request_of(payload));
    if (!here.answering)
    {
        return;
    }
    at(m_now + upstream_time,
       [this, index, flow]
       {
           if (m_nodes[index].open.count(flow) != 0)
           {
               handle(index, upstream_answered{flow, {}});
           }
       });
}

std::size_t mesh::join()
{
    const std::size_t index = m_nodes.size();
    member_node added;
    added.record.id = upstream_id("u" + std::to_string(index));
    added.record.service = m_settings.declared.id;
    added.record.started = incarnation(++m_incarnations);
    added.record.agent = host(1, index);
    m_nodes.push_back(std::move(added));
    m_agent_starts.push_back(0);
    start_agent(index);
    publish();
    return index;
}

void mesh::start_agent(std::size_t index)
{
    member_node& here = m_nodes[index];
    agent_settings settings = m_settings.agents;
    settings.self = here.record;
    here.core = std::make_unique<agent>(settings, m_now);
    here.view_known = m_now;
    const std::uint64_t agent_start = ++m_agent_starts[index];
    at(m_now, [this, index, agent_start] { tick_node(index, agent_start); });
}

void mesh::tick_node(std::size_t index, std::uint64_t agent_start)
{
    if (!m_nodes[index].alive || m_agent_starts[index] != agent_start)
    {
        return;
    }
    handle(index, tick{});
    at(m_now + tick_interval,
       [this, index, agent_start] { tick_node(index, agent_start); });
}

std::shared_ptr<const service_view> mesh::view() const
{
    auto next = std::make_shared<service_view>();
    next->version = config_version(1);
    next->declared = m_settings.declared;
    for (const member_node& member : m_nodes)
    {
        if (member.is_silent)
        {
            next->members.push_back(member.record);
            next->members.back().state = upstream_state::silent;
        }
        else if (member.alive && member.record.state != upstream_state::gone)
        {
            next->members.push_back(member.record);
        }
    }
    std::sort(next->members.begin(), next->members.end(),
              [](const upstream_record& first, const upstream_record& second)
              { return first.id < second.id; });
    for (const balancer& member : m_balancers)
    {
        next->balancers.push_back(member.address);
    }
    std::sort(next->balancers.begin(), next->balancers.end());
    return next;
}

// Each node gets the view after a delay of its own, but views in their order.
void mesh::publish()
{
    const auto next = view();
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        if (m_nodes[i].is_silent)
        {
            continue;
        }
        time_point& known = m_nodes[i].view_known;
        known =
            std::max(known, m_now + draw(duration::zero(), m_settings.max_lag));
        at(known, [this, i, next] { handle(i, view_changed{next}); });
    }
    for (std::size_t i = 0; i < m_balancers.size(); ++i)
    {
        time_point& known = m_balancers[i].view_known;
        known =
            std::max(known, m_now + draw(duration::zero(), m_settings.max_lag));
        at(known,
           [this, address = m_balancers[i].address, next]
           {
               const auto found =
                   std::find_if(m_balancers.begin(), m_balancers.end(),
                                [&address](const balancer& other)
                                { return other.address == address; });
               if (found == m_balancers.end())
               {
                   return;
               }
               balancer& here = *found;
               auto table = forwarding_table::build(*next);
               if (!here.current || here.current->digest() != table->digest())
               {
                   here.previous = here.current;
                   here.current = std::move(table);
               }
           });
    }
}

std::vector<std::size_t> mesh::owners(std::uint32_t flow)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        if (m_nodes[i].alive && m_nodes[i].core->owns(key(flow)))
        {
            found.push_back(i);
        }
    }
    return found;
}

bool mesh::ran(std::uint32_t request) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(),
                       [request](const member_node& member)
                       { return member.requests.count(request) != 0; });
}

agent_counts mesh::total() const
{
    agent_counts sum;
    for (const member_node& member : m_nodes)
    {
        const agent_counts& counts = member.core->counts();
        sum.duplicate_owners += counts.duplicate_owners;
        sum.admitted += counts.admitted;
        sum.adopted += counts.adopted;
        sum.handed_off += counts.handed_off;
        sum.looked_up += counts.looked_up;
        sum.redirected += counts.redirected;
        sum.diverted += counts.diverted;
        sum.refused += counts.refused;
        sum.silent += counts.silent;
        sum.too_many_hops += counts.too_many_hops;
        sum.wrong_tag += counts.wrong_tag;
        sum.questions += counts.questions;
        sum.unknown_flows += counts.unknown_flows;
        sum.redirects_published += counts.redirects_published;
    }
    return sum;
}

} // namespace crowlink::test
