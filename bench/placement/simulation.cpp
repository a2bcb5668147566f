#include "simulation.hpp"

#include <algorithm>
#include <array>

namespace crowlink::placement
{

namespace
{

constexpr duration sample_period = std::chrono::milliseconds(100);
// Different streams of random numbers from one seed.
constexpr std::uint64_t spray_stream = 0x5eed0001;
constexpr std::uint64_t think_stream = 0x5eed0002;
constexpr std::uint64_t upstream_stream = 0x5eed1000;
constexpr std::uint16_t service_port = 443;

// The value below which this part of the samples lies; reorders them.
double quantile(std::vector<float>& samples, double part)
{
    if (samples.empty())
    {
        return 0.0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(
        part * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
    return samples[static_cast<std::size_t>(rank)];
}

} // namespace

simulation::simulation(const experiment& settings, arm mode)
    : m_settings(settings)
    , m_random(settings.seed ^ spray_stream)
    , m_think(settings.seed ^ think_stream)
{
    m_report.mode = mode;
    m_flow_balance.resize(settings.services.size());
    m_flow_balance_all.resize(settings.services.size());
    m_request_balance.resize(settings.services.size());
    add_upstreams();
}

void simulation::add_upstreams()
{
    for (std::size_t service = 0; service < m_settings.services.size();
         ++service)
    {
        const std::size_t count = m_settings.services[service].upstreams;
        for (std::size_t which = 0; which < count; ++which)
        {
            const std::uint64_t stream = upstream_stream + m_upstreams.size();
            m_upstreams.push_back(std::make_unique<fake_upstream>(
                m_settings, m_events, m_record, m_settings.seed ^ stream));
            m_services.push_back(service);
            m_phases.push_back(upstream_phase::serving);
        }
    }
}

endpoint simulation::service_address(std::size_t service)
{
    const std::array<std::uint8_t, 4> bytes{
        198, 51, 100, static_cast<std::uint8_t>(service + 1)};
    return endpoint{ip_address::from_v4(bytes), service_port};
}

arm_report simulation::run(policy& deciding)
{
    m_policy = &deciding;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index)
    {
        m_upstreams[index]->set_hooks(
            {[this, index] { m_policy->work_started(index); },
             [this, index](bool done) { m_policy->work_ended(index, done); },
             [this, index](const packet_text& text)
             { m_policy->answered(index, m_flows[text.flow].key, text); },
             [this, index](const packet_text& text)
             {
                 m_policy->refused(index, m_flows[text.flow].key, text);
             }});
        m_upstreams[index]->start();
        deciding.started(index);
    }
    const std::vector<arrival> arrivals = draw_arrivals(m_settings);
    m_flows.reserve(arrivals.size());
    begin_faults();
    std::size_t next = 0;
    const time_point begin = m_events.now();
    for (duration at{}; at < m_settings.length; at += sample_period)
    {
        while (next < arrivals.size() && arrivals[next].at < at)
        {
            const arrival& one = arrivals[next++];
            m_events.after(begin + one.at - m_events.now(),
                           [this, &one] { open_flow(one); });
        }
        m_events.run_until(begin + at);
        deciding.tick();
        if (at >= m_settings.warm_up)
        {
            sample();
        }
    }
    finish();
    return m_report;
}

void simulation::open_flow(const arrival& from)
{
    const auto index = static_cast<std::uint32_t>(m_flows.size());
    caller_flow flow;
    flow.service = from.service;
    flow.lifetime = from.lifetime;
    m_flows.push_back(flow);
    ++m_report.flows;
    new_key(index);
    m_flows[index].ends = m_events.now() + from.lifetime;
    ask(index);
}

void simulation::sample()
{
    for (std::size_t service = 0; service < m_settings.services.size();
         ++service)
    {
        std::vector<double> flows;
        std::vector<double> flows_all;
        std::vector<double> requests;
        for (std::size_t index = 0; index < m_upstreams.size(); ++index)
        {
            const fake_upstream& one = *m_upstreams[index];
            if (m_services[index] != service || !one.alive() || one.stalled() ||
                m_phases[index] != upstream_phase::serving)
            {
                continue;
            }
            const auto open = static_cast<double>(one.connections());
            flows_all.push_back(open);
            const bool first_life = one.started() == time_point{};
            if (first_life ||
                m_events.now() - one.started() >= m_settings.cold_start)
            {
                flows.push_back(open);
                requests.push_back(static_cast<double>(one.work()));
            }
        }
        m_flow_balance[service].add(flows);
        m_flow_balance_all[service].add(flows_all);
        m_request_balance[service].add(requests);
    }
}

void simulation::finish()
{
    for (std::uint32_t index = 0; index < m_flows.size(); ++index)
    {
        const caller_flow& flow = m_flows[index];
        // Nothing may still be on its way for a request asked this long ago.
        constexpr duration patience = std::chrono::seconds(40);
        if (flow.state != caller_state::done && flow.waiting &&
            m_events.now() - flow.asked > patience &&
            m_record.has_run(index, flow.sequence))
        {
            ++m_report.lost;
        }
    }
    m_report.doubled = m_record.doubled();
    m_report.unfinished_restarts = m_restarts.size() + m_restarting;
    m_report.answer_median = quantile(m_answer_times, 0.5);
    m_report.answer_p99 = quantile(m_answer_times, 0.99);
    m_report.answer_p999 = quantile(m_answer_times, 0.999);
    for (std::size_t service = 0; service < m_settings.services.size();
         ++service)
    {
        m_report.balance.push_back({m_settings.services[service].name,
                                    m_flow_balance[service].mean(),
                                    m_flow_balance[service].worst(),
                                    m_flow_balance_all[service].mean(),
                                    m_request_balance[service].mean()});
    }
}

} // namespace crowlink::placement
