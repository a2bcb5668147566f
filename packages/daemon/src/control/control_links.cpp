#include "control/control_links.hpp"

#include "control/lease_scale.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

constexpr const char* peer_domain = "control";
constexpr const char* node_domain = "balancer+agent";

// A host that relays listens where it would as a control host: others may have
// been told that it is one.
std::optional<endpoint> relay_listen(const daemon_settings& settings,
                                     std::uint16_t seed_settings::*port)
{
    if (!settings.operator_relay || !settings.seeds)
    {
        return std::nullopt;
    }
    return endpoint{settings.operator_relay->address, (*settings.seeds).*port};
}

std::optional<endpoint> peer_listen(const daemon_settings& settings)
{
    return settings.control ? std::optional(settings.control->peer_listen)
                            : relay_listen(settings, &seed_settings::peer_port);
}

std::optional<endpoint> node_listen(const daemon_settings& settings)
{
    return settings.control ? std::optional(settings.control->node_listen)
                            : relay_listen(settings, &seed_settings::node_port);
}

// Shorter leases go with shorter round trips, so that the tries to connect are
// as much shorter. With a lease of 1.8 s a try takes 150 ms instead of 500 ms.
connect_times scaled_times(const daemon_settings& settings)
{
    const lease_scale scale(settings);
    connect_times times;
    times.attempt = scale(times.attempt);
    times.longest_wait = std::max(times.first_wait, scale(times.longest_wait));
    return times;
}

} // namespace

control_links::control_links(zmq::context_t& context,
                             const daemon_settings& settings,
                             const zap_authenticator* authenticator)
    : m_context(context)
    , m_seeds(settings.seeds)
    , m_self(settings.host.name)
    , m_node_name(internal::node_name(settings))
    , m_authenticator(authenticator)
    , m_times(scaled_times(settings))
{
}

result<std::unique_ptr<control_links>>
control_links::open(zmq::context_t& context, const daemon_settings& settings,
                    const identity& own, const zap_authenticator* authenticator)
{
    std::unique_ptr<control_links> made(
        new control_links(context, settings, authenticator));
    const auto done =
        made->open_peers(context, own, settings)
            .and_then([&] { return made->open_nodes(context, own, settings); });
    if (!done)
    {
        return tl::unexpected(done.error());
    }
    made->note_control(own, settings);
    made->list_sockets();
    return made;
}

result<void> control_links::open_peers(zmq::context_t& context,
                                       const identity& own,
                                       const daemon_settings& settings)
{
    const auto listen = peer_listen(settings);
    if (!listen)
    {
        return {};
    }
    result<router_socket> router =
        router_socket::bind(context, *listen, own.pair, peer_domain);
    if (!router)
    {
        return tl::unexpected(router.error());
    }
    m_peer_router.emplace(std::move(*router));
    if (!settings.control)
    {
        return {};
    }
    for (const control_peer& peer : settings.control->peers)
    {
        if (peer.host == settings.host.name)
        {
            continue;
        }
        result<dealer_socket> dealer =
            dealer_socket::connect(context, settings.host.name, peer.address,
                                   own.pair, peer.public_key, m_times);
        if (!dealer)
        {
            return tl::unexpected(dealer.error());
        }
        m_peers.emplace(peer.host, std::move(*dealer));
    }
    return {};
}

result<void> control_links::open_nodes(zmq::context_t& context,
                                       const identity& own,
                                       const daemon_settings& settings)
{
    const auto listen = node_listen(settings);
    if (!listen)
    {
        return {};
    }
    result<router_socket> router =
        router_socket::bind(context, *listen, own.pair, node_domain);
    if (!router)
    {
        return tl::unexpected(router.error());
    }
    m_node_router.emplace(std::move(*router));
    return {};
}

void control_links::note_control(const identity& own,
                                 const daemon_settings& settings)
{
    m_pair = own.pair;
    for (const control_endpoint& each : settings.control_endpoints)
    {
        m_named_control.emplace(each.host, each);
    }
    if (m_named_control.empty() && settings.control && settings.is_node())
    {
        // The control in this process, reached as any other.
        m_named_control.emplace(
            settings.host.name,
            control_endpoint{settings.host.name, settings.host.place,
                             settings.host.region, *node_address(),
                             own.pair ? own.pair->public_key : std::string()});
    }
}

std::optional<dealer_socket> control_links::reach(const host_id& self,
                                                  const host_id& host,
                                                  std::uint16_t port)
{
    const auto address = ip_address::parse(host.value());
    if (!m_seeds || !address)
    {
        return std::nullopt;
    }
    result<dealer_socket> dealer = dealer_socket::connect(
        m_context, self, endpoint{*address, port}, std::nullopt, "", m_times);
    if (!dealer)
    {
        m_metrics.count("crowlink_control_hosts_unreachable_total");
        return std::nullopt;
    }
    return std::move(*dealer);
}

void control_links::reach_peer(const host_id& host)
{
    if (host == m_self || m_peers.count(host) != 0)
    {
        return;
    }
    if (auto dealer = reach(m_self, host, m_seeds ? m_seeds->peer_port : 0))
    {
        m_peers.emplace(host, std::move(*dealer));
    }
}

void control_links::keep_peers(const std::set<host_id>& hosts)
{
    std::erase_if(m_peers, [&hosts](const auto& each)
                  { return hosts.count(each.first) == 0; });
}

void control_links::reach_control(const host_id& host)
{
    if (m_control.count(host) != 0)
    {
        return;
    }
    if (auto dealer = connect_control(host))
    {
        m_control.emplace(host, std::move(*dealer));
        list_sockets();
    }
}

std::optional<dealer_socket> control_links::connect_control(const host_id& host)
{
    const auto named = m_named_control.find(host);
    if (named == m_named_control.end())
    {
        return reach(m_node_name, host, m_seeds ? m_seeds->node_port : 0);
    }
    const control_endpoint& there = named->second;
    result<dealer_socket> dealer =
        dealer_socket::connect(m_context, m_node_name, there.address, m_pair,
                               there.public_key, m_times);
    if (!dealer)
    {
        m_metrics.count("crowlink_control_hosts_unreachable_total");
        return std::nullopt;
    }
    return std::move(*dealer);
}

void control_links::set_control(const std::set<host_id>& hosts)
{
    const std::size_t removed =
        std::erase_if(m_control, [&hosts](const auto& each)
                      { return hosts.count(each.first) == 0; });
    if (removed > 0)
    {
        list_sockets();
    }
    for (const host_id& host : hosts)
    {
        reach_control(host);
    }
}

void control_links::list_sockets()
{
    m_items.clear();
    const auto add = [this](zmq::socket_ref socket)
    {
        m_items.push_back(zmq::pollitem_t{socket.handle(), 0, ZMQ_POLLIN, 0});
    };
    if (m_peer_router)
    {
        add(m_peer_router->socket());
        add(m_node_router->socket());
    }
    // Nobody sends on the connections to peers: their own ones bring messages.
    for (auto& [host, dealer] : m_control)
    {
        add(dealer.socket());
        add(dealer.events());
    }
    if (m_also)
    {
        m_items.push_back(zmq::pollitem_t{nullptr, *m_also, ZMQ_POLLIN, 0});
    }
    // The last one is the wake event of `wait`.
    m_items.push_back(zmq::pollitem_t{nullptr, 0, ZMQ_POLLIN, 0});
}

void control_links::wait_also_for(int descriptor)
{
    m_also = descriptor;
    list_sockets();
}

void control_links::wait(duration longest, const wake_event& wake)
{
    m_items.back().fd = wake.handle();
    try
    {
        zmq::poll(m_items.data(), m_items.size(),
                  std::chrono::ceil<std::chrono::milliseconds>(longest));
    }
    catch (const zmq::error_t&)
    {
        // Interrupted by a signal: as if the time had passed.
    }
    (void)wake.take();
    // Lost connections to peers come back by themselves; their events must not
    // pile up.
    for (auto& [host, dealer] : m_peers)
    {
        (void)dealer.is_lost();
    }
}

std::optional<endpoint> control_links::peer_address() const
{
    return m_peer_router ? std::optional(m_peer_router->local()) : std::nullopt;
}

std::optional<endpoint> control_links::node_address() const
{
    if (!m_node_router)
    {
        return std::nullopt;
    }
    return m_node_router->local();
}

} // namespace crowlink::internal
