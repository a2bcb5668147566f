#include "control_bed.hpp"

#include "sample_views.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>

namespace crowlink::capacity
{

namespace
{

constexpr std::uint64_t seed = 1;
constexpr int most_steps = 60000;

observer_info self()
{
    return {host_id("control-0"), place_id("place-0"), region_id("region")};
}

std::vector<observer_info> peer_list(std::size_t count)
{
    std::vector<observer_info> peers;
    for (std::size_t index = 1; index <= count; ++index)
    {
        peers.push_back({host_id(fmt::format("control-{}", index)),
                         place_id(fmt::format("place-{}", index % 12)),
                         region_id("region")});
    }
    return peers;
}

observer_settings observing(const std::vector<observer_info>& peers)
{
    observer_settings settings;
    settings.self = self();
    settings.peers = peers;
    // Upstreams need not renew while time passes here.
    settings.lease = std::chrono::hours(1000);
    return settings;
}

wire::membership_message announcement_of(const upstream_record& record)
{
    wire::membership_message message;
    wire::announcement* body = message.mutable_announce();
    body->add_places(record.where.value());
    wire::member* member = body->mutable_record();
    member->set_service(record.service.value());
    member->set_id(record.id.value());
    member->set_started(record.started.value());
    member->set_sequence(record.sequence);
    const auto& bytes = record.agent.address.bytes();
    member->set_address(bytes.data() + 12, 4);
    member->set_port(record.agent.port);
    // Only what changes a view is told to nodes: drained and ready in turn.
    member->set_state(record.sequence % 2 == 0 ? 1 : 0);
    return message;
}

host_id host_of(const upstream_record& record)
{
    return host_id(record.id.value());
}

} // namespace

control_bed::control_bed(std::size_t peers)
    : m_peers(peer_list(peers)), m_host(observing(m_peers), {}, seed, m_now)
{
}

void control_bed::announce(std::size_t services, std::size_t members)
{
    system_document document;
    for (std::size_t service = 0; service < services; ++service)
    {
        document.services.push_back(sample_service(service));
    }
    m_host.document_changed(config_version(1), document);
    for (std::size_t service = 0; service < services; ++service)
    {
        for (std::size_t index = 0; index < members; ++index)
        {
            change(service, index, 1);
        }
    }
}

void control_bed::renew(std::size_t service, std::size_t upstream)
{
    const upstream_record record = sample_record(service, upstream);
    wire::membership_message message;
    wire::renewal* body = message.mutable_renew();
    body->set_service(record.service.value());
    body->set_id(record.id.value());
    body->set_started(record.started.value());
    body->set_sequence(record.sequence);
    deliver(m_host.handle(m_now, host_of(record), message));
}

void control_bed::change(std::size_t service, std::size_t upstream,
                         std::uint64_t sequence)
{
    const upstream_record record = sample_record(service, upstream, sequence);
    deliver(m_host.handle(m_now, host_of(record), announcement_of(record)));
}

void control_bed::add_nodes(std::size_t count, bool all_services)
{
    for (std::size_t index = 0; index < count; ++index)
    {
        subscriber_settings settings;
        settings.wants.all_services = all_services;
        if (!all_services)
        {
            settings.wants.services = {service_id(1)};
        }
        settings.publishers = {self()};
        settings.self = host_id(fmt::format("node-{}", m_nodes.size()));
        settings.region = self().region;
        m_names[settings.self] = m_nodes.size();
        m_nodes.push_back(std::make_unique<subscriber>(
            settings, seed + m_nodes.size(), m_now));
    }
}

void control_bed::deliver(const std::vector<membership_send>& sends)
{
    for (const membership_send& one : sends)
    {
        const std::size_t size = wire_size(one.message);
        const auto named = m_names.find(one.to);
        if (named == m_names.end())
        {
            const bool to_peer = one.to.value().rfind("control-", 0) == 0;
            m_to_peers.messages += to_peer ? 1 : 0;
            m_to_peers.bytes += to_peer ? size : 0;
            continue;
        }
        ++m_to_nodes.messages;
        m_to_nodes.bytes += size;
        if (!m_muted)
        {
            answer(named->second, m_nodes[named->second]->handle(
                                      m_now, self().id, one.message));
        }
    }
}

void control_bed::answer(std::size_t node, subscriber_output out)
{
    if (node == 0)
    {
        m_views.insert(m_views.end(), out.changed.begin(), out.changed.end());
    }
    const host_id name(fmt::format("node-{}", node));
    for (const membership_send& one : out.sends)
    {
        ++m_from_nodes.messages;
        m_from_nodes.bytes += wire_size(one.message);
        deliver(m_host.handle(m_now, name, one.message));
    }
}

void control_bed::tick_host()
{
    m_now += step;
    deliver(m_host.tick(m_now));
}

void control_bed::tick_nodes()
{
    for (std::size_t index = 0; index < m_nodes.size() && !m_muted; ++index)
    {
        answer(index, m_nodes[index]->tick(m_now));
    }
}

void control_bed::run(duration time)
{
    for (duration passed{}; passed < time; passed += step)
    {
        tick_host();
        tick_nodes();
    }
}

void control_bed::get_ready()
{
    run(std::chrono::seconds(15));
}

void control_bed::settle()
{
    const auto knows_all = [](const std::unique_ptr<subscriber>& node)
    {
        return node->attached() && node->snapshots() > 0;
    };
    int steps = 0;
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), knows_all))
    {
        if (++steps > most_steps)
        {
            throw std::runtime_error("the nodes did not get to know all");
        }
        run(step);
    }
    // What was still on its way, and the first digests.
    run(std::chrono::seconds(6));
}

std::vector<service_view> control_bed::take_views()
{
    std::vector<service_view> views;
    views.swap(m_views);
    return views;
}

} // namespace crowlink::capacity
