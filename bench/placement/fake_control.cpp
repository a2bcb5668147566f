#include "fake_control.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <random>

namespace crowlink::placement
{

namespace
{

constexpr std::uint64_t control_stream = 0x5eed2000;
constexpr std::uint16_t agent_port = 7001;
constexpr std::uint16_t balancer_port = 7002;

endpoint numbered(std::uint8_t net, std::size_t number, std::uint16_t port)
{
    const std::array<std::uint8_t, 4> bytes{
        172, net, static_cast<std::uint8_t>(number >> 8),
        static_cast<std::uint8_t>(number)};
    return endpoint{ip_address::from_v4(bytes), port};
}

} // namespace

endpoint agent_address(std::size_t upstream)
{
    return numbered(16, upstream, agent_port);
}

std::size_t upstream_at(const endpoint& agent)
{
    const auto& bytes = agent.address.bytes();
    return (static_cast<std::size_t>(bytes[14]) << 8) + bytes[15];
}

endpoint balancer_address(std::size_t which)
{
    return numbered(17, which, balancer_port);
}

fake_control::fake_control(simulation& world)
    : m_world(world)
    , m_random(world.settings().seed ^ control_stream)
    , m_records(world.upstream_count())
{
    m_sharing.cold_start = world.settings().cold_start;
    for (std::size_t index = 0; index < m_records.size(); ++index)
    {
        m_records[index] = first_record(index, 1);
    }
}

void fake_control::set_balancers(std::vector<endpoint> balancers)
{
    std::sort(balancers.begin(), balancers.end());
    m_balancers = std::move(balancers);
    for (std::size_t service = 0; service < m_world.settings().services.size();
         ++service)
    {
        distribute(service);
    }
}

upstream_record fake_control::first_record(std::size_t upstream,
                                           std::uint64_t life) const
{
    upstream_record record;
    record.id = upstream_id(fmt::format("upstream-{:04}", upstream));
    record.service = service_id(
        static_cast<std::uint32_t>(m_world.service_of(upstream) + 1));
    record.started = incarnation(life);
    record.sequence = 1;
    record.agent = agent_address(upstream);
    record.where = place_id("here");
    return record;
}

void fake_control::publish(const upstream_record& record)
{
    upstream_record& held = m_records[upstream_at(record.agent)];
    if (!newer(record, held))
    {
        return;
    }
    held = record;
    distribute(m_world.service_of(upstream_at(record.agent)));
}

void fake_control::expire(std::size_t upstream)
{
    upstream_record record = m_records[upstream];
    ++record.sequence;
    record.state = upstream_state::gone;
    publish(record);
}

std::size_t fake_control::subscribe(receiver take)
{
    for (std::size_t service = 0; service < m_world.settings().services.size();
         ++service)
    {
        take(view_of(service));
    }
    m_nodes.push_back({std::move(take), m_world.events().now()});
    return m_nodes.size() - 1;
}

fake_control::view_pointer fake_control::view_of(std::size_t service) const
{
    const experiment& settings = m_world.settings();
    auto view = std::make_shared<service_view>();
    view->version = config_version(1);
    view->declared.id = service_id(static_cast<std::uint32_t>(service + 1));
    view->declared.name = settings.services[service].name;
    view->declared.protocol = transport::tcp;
    view->declared.addresses = {simulation::service_address(service)};
    view->declared.limits = {settings.slots, settings.connections};
    view->declared.sharing = m_sharing;
    view->declared.sharing.goal = settings.services[service].goal;
    for (const upstream_record& record : m_records)
    {
        if (record.service == view->declared.id &&
            record.state != upstream_state::gone)
        {
            view->members.push_back(record);
        }
    }
    view->balancers = m_balancers;
    return view;
}

void fake_control::distribute(std::size_t service)
{
    const view_pointer view = view_of(service);
    const experiment& settings = m_world.settings();
    const double least =
        std::chrono::duration<double>(settings.least_view_delay).count();
    const double most =
        std::chrono::duration<double>(settings.most_view_delay).count();
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
    {
        node& to = m_nodes[index];
        const double drawn =
            std::uniform_real_distribution<double>(least, most)(m_random);
        const time_point earliest =
            m_world.events().now() + std::chrono::duration_cast<duration>(
                                         std::chrono::duration<double>(drawn));
        to.busy_until = std::max(to.busy_until, earliest);
        m_world.events().after(to.busy_until - m_world.events().now(),
                               [this, index, view]
                               {
                                   if (m_nodes[index].take)
                                   {
                                       m_nodes[index].take(view);
                                   }
                               });
    }
}

} // namespace crowlink::placement
