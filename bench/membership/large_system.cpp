#include "large_system.hpp"

#include "sample_data.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::bench
{

namespace
{

constexpr std::size_t addresses_a_service = 6;
const duration tenth = std::chrono::milliseconds(100);
constexpr int steps_a_second = 10;

announcer_settings announcing(const std::vector<observer_info>& infos,
                              const region_id& region)
{
    announcer_settings out;
    out.observers = infos;
    out.region = region;
    return out;
}

} // namespace

large_system::large_system(const sizes& size) : m_size(size)
{
    for (std::size_t index = 0; index < size.places; ++index)
    {
        m_infos.push_back({control(index), place(index), region_of(index)});
    }
    for (const observer_info& self : m_infos)
    {
        observer_settings observing;
        observing.self = self;
        std::copy_if(
            m_infos.begin(), m_infos.end(), std::back_inserter(observing.peers),
            [&self](const observer_info& each) { return each.id != self.id; });
        publisher_settings publishing;
        publishing.bytes_per_second = size.bytes_a_second;
        publishing.burst_bytes = size.burst_bytes;
        m_controls.push_back(std::make_unique<membership_host>(
            observing, publishing, m_random(), m_now));
    }
    m_announcers.resize(size.upstreams);
    for (std::size_t index = 0; index < size.upstreams; ++index)
    {
        m_agents_by_id.emplace(agent(index), index);
        restart_upstream(index);
    }
    for (std::size_t index = 0; index < size.regions; ++index)
    {
        subscriber_settings watching;
        watching.publishers = m_infos;
        watching.self = node(index);
        watching.region = region_id(fmt::format("region-{}", index));
        watching.wants.all_services = true;
        m_nodes.push_back(
            std::make_unique<subscriber>(watching, m_random(), m_now));
    }
    m_document = sample_document(size.services, addresses_a_service);
    m_last_bytes.resize(size.regions);
    m_first_bytes.resize(size.regions);
}

region_id large_system::region_of(std::size_t place) const
{
    return region_id(fmt::format("region-{}", place % m_size.regions));
}

place_id large_system::place(std::size_t index) const
{
    return place_id(fmt::format("place-{:03}", index));
}

place_id large_system::place_of_upstream(std::size_t index) const
{
    return place(index % m_size.places);
}

host_id large_system::control(std::size_t place) const
{
    return host_id(fmt::format("control-{}", place));
}

host_id large_system::node(std::size_t region) const
{
    return host_id(fmt::format("node-{}", region));
}

host_id large_system::agent(std::size_t upstream) const
{
    return host_id(fmt::format("agent-{}", upstream));
}

void large_system::restart_upstream(std::size_t index)
{
    auto record = sample_record(index, m_size.services, m_size.places);
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_now.time_since_epoch());
    record.started =
        first_incarnation(static_cast<std::uint64_t>(wall.count()), m_random());
    m_announcers[index] = std::make_unique<announcer>(
        announcing(m_infos, region_of(index % m_size.places)), record,
        m_random(), m_now);
}

void large_system::kill_upstream(std::size_t index)
{
    m_announcers[index].reset();
}

void large_system::change_document()
{
    auto& changed = m_document.services[m_random() % m_size.services];
    ++changed.limits.connections;
    m_version = config_version(m_version.value() + 1);
}

void large_system::post(const host_id& from, std::vector<membership_send> sends)
{
    for (membership_send& each : sends)
    {
        if (!m_drops || !m_drops(from, each.to))
        {
            m_flying.push_back(flight{from, std::move(each)});
        }
    }
}

void large_system::deliver()
{
    const std::vector<flight> flying = std::exchange(m_flying, {});
    for (const flight& each : flying)
    {
        const host_id& to = each.what.to;
        const auto& message = each.what.message;
        const auto agent_at = m_agents_by_id.find(to);
        if (agent_at != m_agents_by_id.end())
        {
            auto& core = m_announcers[agent_at->second];
            m_agent_bytes += static_cast<double>(wire_size(message));
            if (core)
            {
                post(to, core->handle(m_now, each.from, message));
            }
            continue;
        }
        const std::size_t number =
            std::stoul(to.value().substr(to.value().find('-') + 1));
        if (to.value()[0] == 'n')
        {
            m_node_messages += message.has_part() ? 1 : 0;
            post(to, m_nodes[number]->handle(m_now, each.from, message).sends);
            continue;
        }
        const bool between_controls = each.from.value()[0] == 'c';
        (between_controls ? m_control_bytes : m_agent_bytes) +=
            static_cast<double>(wire_size(message));
        if (m_controls[number])
        {
            post(to, m_controls[number]->handle(m_now, each.from, message));
        }
    }
}

void large_system::step()
{
    m_now += tenth;
    deliver();
    for (std::size_t index = 0; index < m_controls.size(); ++index)
    {
        if (m_controls[index])
        {
            if (m_controls[index]->publishing().version() != m_version)
            {
                m_controls[index]->document_changed(m_version, m_document);
            }
            post(m_infos[index].id, m_controls[index]->tick(m_now));
        }
    }
    for (std::size_t index = 0; index < m_announcers.size(); ++index)
    {
        if (m_announcers[index])
        {
            auto sends = m_announcers[index]->tick(m_now);
            if (!sends.empty())
            {
                post(agent(index), std::move(sends));
            }
        }
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
    {
        post(node(index), m_nodes[index]->tick(m_now).sends);
    }
    if (++m_steps % steps_a_second == 0)
    {
        meter();
    }
}

void large_system::meter()
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
    {
        const auto bytes = static_cast<double>(m_nodes[index]->bytes());
        m_peak = std::max(m_peak, bytes - m_last_bytes[index]);
        m_last_bytes[index] = bytes;
    }
}

void large_system::reset_bytes()
{
    meter();
    m_first_bytes = m_last_bytes;
    m_peak = 0;
    m_control_bytes = 0;
    m_agent_bytes = 0;
    m_node_messages = 0;
}

double large_system::node_bytes() const
{
    double most = 0;
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
    {
        const auto bytes = static_cast<double>(m_nodes[index]->bytes());
        most = std::max(most, bytes - m_first_bytes[index]);
    }
    return most;
}

double large_system::control_bytes() const
{
    return m_control_bytes / static_cast<double>(m_infos.size());
}

double large_system::agent_bytes() const
{
    return m_agent_bytes / static_cast<double>(m_size.upstreams);
}

void large_system::run(duration time)
{
    const time_point end = m_now + time;
    while (m_now < end)
    {
        step();
    }
}

double large_system::run_until(const std::function<bool()>& holds,
                               duration limit)
{
    const time_point began = m_now;
    while (!holds() && m_now - began < limit)
    {
        step();
    }
    return std::chrono::duration<double>(m_now - began).count();
}

bool large_system::document_in_force() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [this](const auto& each)
                       { return each->applied_version() == m_version; });
}

std::size_t large_system::living_announcers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_announcers.begin(), m_announcers.end(),
                      [](const auto& each) { return each != nullptr; }));
}

bool large_system::members_known() const
{
    for (const auto& node : m_nodes)
    {
        const auto& records = node->state().records();
        if (node->state().living() != living_announcers())
        {
            return false;
        }
        for (const auto& each : m_announcers)
        {
            if (!each)
            {
                continue;
            }
            const auto& truth = each->record();
            const auto held = records.find({truth.service, truth.id});
            if (held == records.end() ||
                held->second.record.started != truth.started)
            {
                return false;
            }
        }
    }
    return true;
}

bool large_system::shows(const place_id& where) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(),
                       [&where](const auto& each) {
                           return each->state().lost_places().count(where) == 0;
                       });
}

} // namespace crowlink::bench
