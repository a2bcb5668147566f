#include "simulation.hpp"

namespace crowlink::placement
{

namespace
{

constexpr duration restart_poll = std::chrono::seconds(1);
// From an upstream's end to its next life.
constexpr duration down_time = std::chrono::seconds(2);

} // namespace

void simulation::deliver(std::size_t upstream, const packet_text& text)
{
    caller_flow& flow = m_flows[text.flow];
    if (m_services[upstream] != flow.service)
    {
        ++m_report.wrong_service;
    }
    fake_upstream& to = *m_upstreams[upstream];
    if (to.alive() && !to.knows(text.flow) && !text.opens)
    {
        ++m_report.misdelivered;
    }
    flow.upstream = upstream;
    if (to.stalled())
    {
        flow.disturbed = true;
    }
    // As a host in time-wait does, the answer to a repeated end is repeated.
    if (to.alive() && text.finishes && !to.knows(text.flow) &&
        m_record.has_run(text.flow, text.sequence))
    {
        m_policy->answered(upstream, flow.key, text);
        return;
    }
    to.deliver(text);
}

void simulation::disconnect(std::size_t upstream, std::uint32_t flow)
{
    m_upstreams[upstream]->forget(flow);
}

void simulation::begin_faults()
{
    for (const fault& what : m_settings.faults)
    {
        m_events.after(what.at, [this, &what] { begin(what); });
    }
}

std::size_t simulation::index_of(const fault& what) const
{
    std::size_t first = 0;
    while (m_services[first] != what.service)
    {
        ++first;
    }
    return first + what.which;
}

void simulation::begin(const fault& what)
{
    switch (what.kind)
    {
    case fault_kind::rolling_restart:
        for (std::size_t left = m_upstreams.size(); left > 0; --left)
        {
            m_restarts.push_back(left - 1);
        }
        for (std::size_t turn = 0; turn < what.count; ++turn)
        {
            restart_next();
        }
        return;
    case fault_kind::replace_balancer:
        m_policy->balancer_replaced(what.which);
        return;
    case fault_kind::crash_balancer:
        m_policy->balancer_crashed(what.which);
        return;
    case fault_kind::stall:
        stall(index_of(what), what.lasts);
        return;
    case fault_kind::lie:
        m_upstreams[index_of(what)]->set_lying(true);
        return;
    case fault_kind::crash_upstream:
        crash(index_of(what));
        return;
    case fault_kind::restart_agent:
        m_policy->agent_restarted(index_of(what));
        return;
    }
}

void simulation::restart_next()
{
    if (m_restarts.empty())
    {
        return;
    }
    const std::size_t upstream = m_restarts.back();
    m_restarts.pop_back();
    if (m_phases[upstream] != upstream_phase::serving)
    {
        restart_next();
        return;
    }
    ++m_restarting;
    m_phases[upstream] = upstream_phase::leaving;
    m_policy->leaving(upstream);
    m_events.after(restart_poll,
                   [this, upstream] { restart_when_empty(upstream); });
}

// A planned restart waits for the last flow, however long it lives.
void simulation::restart_when_empty(std::size_t upstream)
{
    fake_upstream& leaving = *m_upstreams[upstream];
    if (leaving.connections() > 0)
    {
        m_events.after(restart_poll,
                       [this, upstream] { restart_when_empty(upstream); });
        return;
    }
    m_phases[upstream] = upstream_phase::down;
    leaving.crash();
    m_policy->ended(upstream);
    m_events.after(down_time,
                   [this, upstream]
                   {
                       m_phases[upstream] = upstream_phase::serving;
                       m_upstreams[upstream]->start();
                       m_policy->started(upstream);
                       --m_restarting;
                       restart_next();
                   });
}

void simulation::crash(std::size_t upstream)
{
    if (m_phases[upstream] != upstream_phase::serving)
    {
        return;
    }
    disturb_flows_of(upstream);
    m_phases[upstream] = upstream_phase::down;
    m_upstreams[upstream]->crash();
    m_policy->crashed(upstream);
    m_events.after(down_time,
                   [this, upstream]
                   {
                       m_phases[upstream] = upstream_phase::serving;
                       m_upstreams[upstream]->start();
                       m_policy->started(upstream);
                   });
}

void simulation::stall(std::size_t upstream, duration lasts)
{
    disturb_flows_of(upstream);
    m_upstreams[upstream]->set_stalled(true);
    m_events.after(lasts, [this, upstream]
                   { m_upstreams[upstream]->set_stalled(false); });
}

void simulation::disturb_flows_of(std::size_t upstream)
{
    for (caller_flow& flow : m_flows)
    {
        if (flow.upstream == upstream && flow.state != caller_state::done)
        {
            flow.disturbed = true;
        }
    }
}

} // namespace crowlink::placement
