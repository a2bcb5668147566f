#include "balancer/balancer_role.hpp"

#include "control/balancer_announcement.hpp"

#include <utility>

namespace crowlink::internal
{

namespace
{

struct bound_sockets
{
    std::vector<udp_socket> callers;
    udp_socket tunnel;
};

result<bound_sockets> bind_all(const std::vector<endpoint>& listen,
                               const endpoint& tunnel, udp_socket::sharing mode)
{
    result<udp_socket> bound_tunnel = udp_socket::bind(tunnel, mode);
    if (!bound_tunnel)
    {
        return tl::unexpected(bound_tunnel.error());
    }
    bound_sockets sockets{{}, std::move(*bound_tunnel)};
    for (const endpoint& each : listen)
    {
        result<udp_socket> bound = udp_socket::bind(each, mode);
        if (!bound)
        {
            return tl::unexpected(bound.error());
        }
        sockets.callers.push_back(std::move(*bound));
    }
    return sockets;
}

} // namespace

result<std::unique_ptr<balancer_role>>
balancer_role::open(const daemon_settings& settings, const key_ring& keys,
                    log_sink& log)
{
    std::unique_ptr<balancer_role> made(new balancer_role(log));
    // The first thread may let the kernel choose ports; the others share them.
    made->m_listening = settings.balancer->listen;
    made->m_tunnel = settings.balancer->tunnel;
    if (shares_rotation(settings))
    {
        made->m_rotation.emplace(settings.host.name);
    }
    for (std::uint32_t at = 0; at < settings.balancer->threads; ++at)
    {
        const result<void> opened = made->open_thread(settings, keys, log);
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
    }
    return made;
}

result<void> balancer_role::open_thread(const daemon_settings& settings,
                                        const key_ring& keys, log_sink& log)
{
    const balancer_role_settings& own = *settings.balancer;
    const auto mode = own.threads > 1 ? udp_socket::sharing::shared
                                      : udp_socket::sharing::exclusive;
    result<bound_sockets> sockets = bind_all(m_listening, m_tunnel, mode);
    if (!sockets)
    {
        return tl::unexpected(sockets.error());
    }
    m_tunnel = sockets->tunnel.local();
    for (std::size_t at = 0; at < m_listening.size(); ++at)
    {
        m_listening[at] = sockets->callers[at].local();
    }
    // The threads share the link equally.
    const auto link =
        settings.host.link_mbps
            ? std::optional(*settings.host.link_mbps / own.threads)
            : std::nullopt;
    if (own.mode == port_mode::plain_datagrams)
    {
        m_datagram_threads.push_back(
            std::make_unique<balancer_thread<datagram_port>>(
                datagram_port(), std::move(sockets->callers),
                std::move(sockets->tunnel), keys, m_sets, log, settings.log,
                link));
        return {};
    }
    if (own.mode == port_mode::flow_packets)
    {
        m_flow_threads.push_back(
            std::make_unique<balancer_thread<platform::flow_packet_port>>(
                platform::flow_packet_port(m_listening.front()),
                std::move(sockets->callers), std::move(sockets->tunnel), keys,
                m_sets, log, settings.log, link));
        return {};
    }
    m_ip_threads.push_back(std::make_unique<balancer_thread<ip_in_udp_port>>(
        ip_in_udp_port(m_listening.front(), own.gateway),
        std::move(sockets->callers), std::move(sockets->tunnel), keys, m_sets,
        log, settings.log, link));
    return {};
}

void balancer_role::advance(time_point now, blackboard& board)
{
    advance_rotation(now, board);
    if (!m_views.changed(board.views))
    {
        return;
    }
    const service_views& views = board.views.get();
    views_changed event;
    for (const auto& [id, view] : views)
    {
        const auto known = m_known.find(id);
        if (known == m_known.end() || known->second != view)
        {
            event.views.push_back(*view);
        }
    }
    for (const auto& [id, view] : m_known)
    {
        if (views.count(id) == 0)
        {
            event.removed.push_back(
                removed_service{id, board.node_version.get()});
        }
    }
    m_known = views;
    const auto next = m_core.handle(now, event);
    if (next != nullptr)
    {
        board.forwarding.set(next);
        m_sets.publish(next);
    }
}

void balancer_role::advance_rotation(time_point now, const blackboard& board)
{
    if (!m_rotation)
    {
        return;
    }
    if (m_entry_hosts.changed(board.entry_hosts))
    {
        m_rotation->set_hosts(now, board.entry_hosts.get());
    }
    m_rotation->tick(now, board.is_control_current.get());
    const bool is_in = m_rotation->is_ready();
    if (m_is_in_rotation.exchange(is_in) != is_in)
    {
        m_log.write(
            log_line(log_level::info, "rotation")
                .field("ready", is_in)
                .field("hosts", board.entry_hosts.get().size())
                .field("control_current", board.is_control_current.get()));
    }
}

std::vector<metrics_slot::pointer> balancer_role::reports() const
{
    std::vector<metrics_slot::pointer> all;
    for (const auto& each : m_datagram_threads)
    {
        all.push_back(each->report().read());
    }
    for (const auto& each : m_ip_threads)
    {
        all.push_back(each->report().read());
    }
    for (const auto& each : m_flow_threads)
    {
        all.push_back(each->report().read());
    }
    return all;
}

} // namespace crowlink::internal
