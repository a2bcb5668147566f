#include "global_policy.hpp"

#include <random>

namespace crowlink::placement
{

namespace
{

constexpr std::size_t nobody = caller_flow::no_upstream;
constexpr duration retry_after = std::chrono::seconds(1);
// Load endpoints are read once a second.
constexpr unsigned ticks_per_report = 10;

} // namespace

global_policy::global_policy(simulation& world)
    : m_world(world)
    , m_open(world.upstream_count(), 0)
    , m_reported(world.upstream_count(), 0)
{
}

void global_policy::tick()
{
    if (++m_ticks % ticks_per_report != 0)
    {
        return;
    }
    for (std::size_t index = 0; index < m_reported.size(); ++index)
    {
        m_reported[index] = m_world.upstream(index).reported();
    }
}

std::size_t global_policy::choose(std::size_t service)
{
    return m_world.mode() == arm::omniscient ? least_loaded(service)
                                             : better_of_two(service);
}

std::size_t global_policy::least_loaded(std::size_t service) const
{
    std::size_t best = nobody;
    for (std::size_t index = 0; index < m_open.size(); ++index)
    {
        const bool usable = m_world.service_of(index) == service &&
                            m_world.phase(index) == upstream_phase::serving &&
                            !m_world.upstream(index).stalled() &&
                            m_open[index] < m_world.settings().connections;
        if (usable && (best == nobody || m_open[index] < m_open[best]))
        {
            best = index;
        }
    }
    return best;
}

std::size_t global_policy::better_of_two(std::size_t service)
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < m_open.size(); ++index)
    {
        if (m_world.service_of(index) == service &&
            m_world.phase(index) == upstream_phase::serving)
        {
            ready.push_back(index);
        }
    }
    if (ready.empty())
    {
        return nobody;
    }
    std::uniform_int_distribution<std::size_t> draw(0, ready.size() - 1);
    const std::size_t first = ready[draw(m_world.random())];
    const std::size_t second = ready[draw(m_world.random())];
    return m_reported[second] < m_reported[first] ? second : first;
}

void global_policy::packet(const flow_key& flow, const packet_text& text)
{
    auto known = m_flows.find(text.flow);
    if (known == m_flows.end() && text.opens)
    {
        const std::size_t chosen = choose(m_world.flow(text.flow).service);
        if (chosen == nobody)
        {
            m_world.refuse_caller(flow, text.flow, verdict::not_run,
                                  retry_after);
            return;
        }
        ++m_open[chosen];
        known = m_flows.emplace(text.flow, placed_flow{chosen, true}).first;
    }
    if (known == m_flows.end())
    {
        m_world.reset_caller(flow, text.flow);
        return;
    }
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay,
                           [this, chosen = known->second.upstream, text]
                           { m_world.deliver(chosen, text); });
}

void global_policy::release(std::uint32_t flow)
{
    const auto known = m_flows.find(flow);
    if (known != m_flows.end() && known->second.open)
    {
        --m_open[known->second.upstream];
        known->second.open = false;
    }
}

void global_policy::answered(std::size_t /*upstream*/, const flow_key& flow,
                             const packet_text& text)
{
    if (text.finishes)
    {
        release(text.flow);
    }
    ++m_world.counts().host_datagrams;
    m_world.events().after(m_world.settings().host_delay, [this, flow, text]
                           { m_world.answer_caller(flow, text); });
}

void global_policy::refused(std::size_t /*upstream*/, const flow_key& flow,
                            const packet_text& text)
{
    release(text.flow);
    m_flows.erase(text.flow);
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

// Flows of the life before are lost with it.
void global_policy::started(std::size_t upstream)
{
    std::vector<std::uint32_t> lost;
    for (const auto& [flow, placed] : m_flows)
    {
        if (placed.upstream == upstream)
        {
            lost.push_back(flow);
        }
    }
    for (const std::uint32_t flow : lost)
    {
        release(flow);
        m_flows.erase(flow);
    }
}

} // namespace crowlink::placement
