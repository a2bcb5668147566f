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

relay_controller::relay_controller(host_id self, control_links& links,
                                   log_sink& log)
    : m_self(std::move(self)), m_links(links), m_log(log)
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
        take_part(message, node);
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

void relay_controller::take_part(const inbound_message& message,
                                 node_controller& node)
{
    auto decoded = replication::decode_message(message.bytes);
    if (!decoded || decoded->from != message.sender)
    {
        return;
    }
    if (const auto* request =
            std::get_if<replication::founding_request>(&decoded->body))
    {
        answer_founder(*decoded, *request);
    }
    else if (const auto* hello =
                 std::get_if<replication::hello>(&decoded->body))
    {
        m_knows_of_a_log = m_knows_of_a_log || !hello->blank;
        pass_on(*std::move(decoded), node);
    }
}

// A host that has no state left must not agree to other voters than those that
// have founded a log.
void relay_controller::answer_founder(
    const replication::replica_message& message,
    const replication::founding_request& request)
{
    if (request.phase == replication::founding_phase::decided ||
        (m_knows_of_a_log && !m_acceptor.has_accepted()))
    {
        return;
    }
    replication::replica_message answer;
    answer.from = m_self;
    answer.to = message.from;
    answer.to_disk = message.from_disk;
    answer.body = m_acceptor.handle(request);
    send(answer);
}

// What is not queued is lost: requests and hellos are sent again.
void relay_controller::send(const replication::replica_message& message)
{
    m_links.reach_peer(message.to);
    (void)m_links.send_to_peer(message.to, message_channel::replication,
                               replication::encode_message(message));
}

void relay_controller::pass_on(replication::replica_message hello,
                               node_controller& node)
{
    const host_id sender = hello.from;
    const bool is_new = m_introduced.size() < most_introduced &&
                        m_introduced.insert(sender).second;
    if (is_new)
    {
        m_log.write(log_line(log_level::info, "control_host_introduced")
                        .field("host", sender.value()));
        node.introduce(sender);
        for (const host_id& waiting : std::exchange(m_waiting, {}))
        {
            name_control_hosts(waiting, node, false);
        }
    }
    for (const host_id& host : known(node))
    {
        if (host != sender)
        {
            hello.to = host;
            send(hello);
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
