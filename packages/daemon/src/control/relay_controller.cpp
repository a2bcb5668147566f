#include "control/relay_controller.hpp"

#include "control/node_controller.hpp"
#include "crowlink/replication/message_codec.hpp"

#include <utility>
#include <variant>

namespace crowlink::internal
{

namespace
{

// More than control hosts are meant to be set aside for a deployment.
constexpr std::size_t most_introduced = 64;
// As many nodes as a control host serves.
constexpr std::size_t most_waiting = 4096;

} // namespace

relay_controller::relay_controller(control_links& links, log_sink& log)
    : m_links(links), m_log(log)
{
}

void relay_controller::handle(const inbound_message& message,
                              node_controller& node)
{
    if (message.link == link_kind::node)
    {
        answer_node(message, node);
    }
    else if (message.channel == message_channel::replication)
    {
        pass_on(message, node);
    }
}

// Announcements get no answer, so that agents ask a control host.
void relay_controller::answer_node(const inbound_message& message,
                                   const node_controller& node)
{
    wire::membership_message asked;
    if (!asked.ParseFromString(message.bytes) || !asked.has_attach_request())
    {
        return;
    }
    const bool kept = known(node).empty() && m_waiting.size() < most_waiting;
    if (kept)
    {
        m_waiting.insert(message.sender);
    }
    name_control_hosts(message.sender, node, kept);
}

void relay_controller::name_control_hosts(const host_id& to,
                                          const node_controller& node,
                                          bool kept)
{
    wire::membership_message told;
    auto& refused = *told.mutable_refused();
    refused.set_kept(kept);
    for (const host_id& host : known(node))
    {
        refused.add_control_hosts(host.value());
    }
    // One that is not connected any more asks elsewhere.
    (void)m_links.send_to_node(to, told.SerializeAsString());
}

void relay_controller::pass_on(const inbound_message& message,
                               node_controller& node)
{
    auto decoded = replication::decode_message(message.bytes);
    const bool is_hello =
        decoded && decoded->from == message.sender &&
        std::holds_alternative<replication::hello>(decoded->body);
    if (!is_hello)
    {
        return;
    }
    const bool is_new = m_introduced.size() < most_introduced &&
                        m_introduced.insert(message.sender).second;
    if (is_new)
    {
        m_log.write(log_line(log_level::info, "control_host_introduced")
                        .field("host", message.sender.value()));
        node.introduce(message.sender);
        for (const host_id& waiting : std::exchange(m_waiting, {}))
        {
            name_control_hosts(waiting, node, false);
        }
    }
    for (const host_id& host : known(node))
    {
        if (host != message.sender)
        {
            decoded->to = host;
            m_links.reach_peer(host);
            // What is not queued is lost: the next hello comes in a second.
            (void)m_links.send_to_peer(host, message_channel::replication,
                                       replication::encode_message(*decoded));
        }
    }
}

std::set<host_id> relay_controller::known(const node_controller& node) const
{
    std::set<host_id> hosts = m_introduced;
    hosts.insert(node.learned().begin(), node.learned().end());
    return hosts;
}

} // namespace crowlink::internal
