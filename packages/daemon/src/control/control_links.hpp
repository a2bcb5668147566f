#pragma once

#include "control/heard_nodes.hpp"
#include "crowlink/base/metrics.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/settings/control_endpoint.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/dealer_socket.hpp"
#include "crowlink/transport/router_socket.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "crowlink/transport/zap_authenticator.hpp"
#include "process/identity.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace crowlink::internal
{

// Which kind of peer a message comes from.
enum class link_kind : std::uint8_t
{
    // Another control host.
    peer,
    // A node, to this control host.
    node,
    // A control host, to this node.
    control,
};

// A message from another process whose name was checked against its key.
struct inbound_message
{
    link_kind link = link_kind::peer;
    host_id sender;
    std::string public_key;
    message_channel channel = message_channel::membership;
    std::string bytes;
};

// The metrics that count the messages and their bytes on one kind of link, one
// way.
struct link_traffic
{
    const char* messages;
    const char* bytes;
};

// All ZeroMQ sockets of one daemon; belongs to the control thread. Towards each
// other control host there is one connection for what is sent, and its own
// connection to this host brings what it sends.
class control_links
{
public:
    // The bound addresses are in the settings; a null authenticator stands for
    // a daemon without keys or without the control role.
    static result<std::unique_ptr<control_links>>
    open(zmq::context_t& context, const daemon_settings& settings,
         const identity& own, const zap_authenticator* authenticator);

    // Waits until a message or the event is there, or the time has passed.
    void wait(duration longest, const wake_event& wake);
    // `wait` ends also when this descriptor is readable.
    void wait_also_for(int descriptor);

    // The next message; empty if there is none.
    std::optional<inbound_message> next();

    // Where hosts are named by their addresses, connects to another control
    // host that is not connected yet.
    void reach_peer(const host_id& host);
    // Ends the connections to other control hosts that are not among these.
    void keep_peers(const std::set<host_id>& hosts);
    // Connects this node to a control host that is not connected yet.
    void reach_control(const host_id& host);
    // Connects this node to these control hosts and to no others.
    void set_control(const std::set<host_id>& hosts);

    // The control hosts whose connection from this node broke or was refused,
    // and was not made again since.
    std::set<host_id> lost_control();
    // Whether the connection to a control host stood at the last call of
    // lost_control.
    bool is_control_connected(const host_id& host) const;

    // Sends to another control host; false if it was not queued.
    bool send_to_peer(const host_id& to, message_channel channel,
                      std::string_view bytes);
    bool send_to_node(const host_id& to, std::string_view bytes);
    bool send_to_control(const host_id& to, std::string_view bytes);

    bool is_peer(const host_id& host) const { return m_peers.count(host) != 0; }

    // Where nodes connect, with the port that was chosen.
    std::optional<endpoint> node_address() const;
    // Where other control hosts connect.
    std::optional<endpoint> peer_address() const;

    // Connections from this node to control hosts, standing or being made.
    std::size_t control_connections() const { return m_control.size(); }
    // Nodes whose messages have come to this control host.
    std::size_t nodes_heard() const { return m_heard_nodes.size(); }
    // Forgets the nodes that were not heard since the call before.
    void forget_silent_nodes() { m_heard_nodes.begin_period(); }
    const metrics& counters() const { return m_metrics; }

private:
    control_links(zmq::context_t& context, const daemon_settings& settings,
                  const zap_authenticator* authenticator);

    // Nothing where hosts are not named by their addresses.
    std::optional<dealer_socket> reach(const host_id& self, const host_id& host,
                                       std::uint16_t port);
    // By the settings where they name the host, or by its address.
    std::optional<dealer_socket> connect_control(const host_id& host);

    result<void> open_peers(zmq::context_t& context, const identity& own,
                            const daemon_settings& settings);
    result<void> open_nodes(zmq::context_t& context, const identity& own,
                            const daemon_settings& settings);
    void note_control(const identity& own, const daemon_settings& settings);
    void list_sockets();
    bool is_genuine(const received_message& message, link_kind link);
    std::optional<inbound_message> next_of(router_socket& socket,
                                           link_kind link);
    std::optional<inbound_message> next_from_control();
    void count(const link_traffic& names, std::size_t bytes);

    zmq::context_t& m_context;
    std::optional<seed_settings> m_seeds;
    host_id m_self;
    host_id m_node_name;
    const zap_authenticator* m_authenticator;
    connect_times m_times;
    std::optional<curve_key_pair> m_pair;
    // The control hosts that the settings name.
    std::map<host_id, control_endpoint> m_named_control;
    std::optional<router_socket> m_peer_router;
    std::optional<router_socket> m_node_router;
    std::map<host_id, dealer_socket> m_peers;
    std::map<host_id, dealer_socket> m_control;
    heard_nodes m_heard_nodes;
    std::vector<zmq::pollitem_t> m_items;
    std::optional<int> m_also;
    metrics m_metrics;
};

} // namespace crowlink::internal
