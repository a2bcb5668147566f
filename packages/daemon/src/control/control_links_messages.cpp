#include "control/control_links.hpp"

#include <algorithm>

// Messages of and to other processes.

namespace crowlink::internal
{

namespace
{

constexpr link_traffic received_from_nodes{
    "crowlink_control_node_messages_received_total",
    "crowlink_control_node_bytes_received_total"};
constexpr link_traffic sent_to_nodes{
    "crowlink_control_node_messages_sent_total",
    "crowlink_control_node_bytes_sent_total"};
constexpr link_traffic received_from_peers{
    "crowlink_control_peer_messages_received_total",
    "crowlink_control_peer_bytes_received_total"};
constexpr link_traffic sent_to_peers{
    "crowlink_control_peer_messages_sent_total",
    "crowlink_control_peer_bytes_sent_total"};

} // namespace

void control_links::count(const link_traffic& names, std::size_t bytes)
{
    m_metrics.count(names.messages);
    m_metrics.count(names.bytes, bytes);
}

std::optional<inbound_message> control_links::next()
{
    if (m_peer_router)
    {
        std::optional<inbound_message> found =
            next_of(*m_peer_router, link_kind::peer);
        if (!found)
        {
            found = next_of(*m_node_router, link_kind::node);
        }
        if (found)
        {
            return found;
        }
    }
    return next_from_control();
}

std::optional<inbound_message> control_links::next_of(router_socket& socket,
                                                      link_kind link)
{
    while (true)
    {
        std::optional<received_message> received = socket.receive();
        if (!received)
        {
            return std::nullopt;
        }
        if (!is_genuine(*received, link))
        {
            continue;
        }
        count(link == link_kind::node ? received_from_nodes
                                      : received_from_peers,
              received->bytes.size());
        if (link == link_kind::node)
        {
            m_heard_nodes.note(received->sender, received->connection);
        }
        return inbound_message{link, std::move(received->sender),
                               std::move(received->public_key),
                               received->channel, std::move(received->bytes)};
    }
}

std::optional<inbound_message> control_links::next_from_control()
{
    for (auto& [host, dealer] : m_control)
    {
        std::optional<dealer_socket::message> received = dealer.receive();
        if (received)
        {
            return inbound_message{link_kind::control, host, std::string(),
                                   received->channel,
                                   std::move(received->bytes)};
        }
    }
    return std::nullopt;
}

std::set<host_id> control_links::lost_control()
{
    std::set<host_id> lost;
    for (auto& [host, dealer] : m_control)
    {
        if (dealer.is_lost())
        {
            lost.insert(host);
        }
    }
    return lost;
}

bool control_links::is_control_connected(const host_id& host) const
{
    const auto found = m_control.find(host);
    return found != m_control.end() && found->second.is_connected();
}

// The name must be that of the key's holder, and the key must still be allowed:
// its connection may be older than the present grants.
bool control_links::is_genuine(const received_message& message, link_kind link)
{
    if (m_authenticator == nullptr)
    {
        return true;
    }
    const std::shared_ptr<const key_grants> grants = m_authenticator->grants();
    const key_grant* grant = grants->find(message.public_key);
    const bool is_allowed =
        grant != nullptr && grant->holder == host_of(message.sender) &&
        (link == link_kind::peer ? grant->allows(node_role::control_node)
                                 : grant->allows(node_role::balancer_node) ||
                                       grant->allows(node_role::agent_node));
    if (!is_allowed)
    {
        m_metrics.count("crowlink_control_messages_refused_total");
    }
    return is_allowed;
}

bool control_links::send_to_peer(const host_id& to, message_channel channel,
                                 std::string_view bytes)
{
    const auto found = m_peers.find(to);
    const bool sent =
        found != m_peers.end() && found->second.send(channel, bytes);
    if (sent)
    {
        count(sent_to_peers, bytes.size());
    }
    return sent;
}

bool control_links::send_to_node(const host_id& to, std::string_view bytes)
{
    const std::string* connection = m_heard_nodes.find(to);
    if (connection == nullptr)
    {
        return false;
    }
    const bool sent =
        m_node_router->send(*connection, message_channel::membership, bytes);
    if (!sent)
    {
        m_metrics.count("crowlink_control_messages_unsent_total");
        return false;
    }
    count(sent_to_nodes, bytes.size());
    return true;
}

bool control_links::send_to_control(const host_id& to, std::string_view bytes)
{
    const auto found = m_control.find(to);
    return found != m_control.end() &&
           found->second.send(message_channel::membership, bytes);
}

} // namespace crowlink::internal
