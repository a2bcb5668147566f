#pragma once

#include "control/control_links.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/replication/founding_acceptor.hpp"
#include "crowlink/replication/message.hpp"

#include <set>
#include <vector>

namespace crowlink::internal
{

class node_controller;

// What a host without a disk does when it is taken for a control host, as the
// settings of others may name it: it tells nodes where control is, passes on
// the hellos of control hosts that look for the log's leader, and takes part in
// the choice of the log's first voters. Nodes that ask before it knows of any
// control host are told as soon as one says hello.
class relay_controller
{
public:
    relay_controller(host_id self, control_links& links, log_sink& log);

    // `node` is this host's own connection to control.
    void handle(const inbound_message& message, node_controller& node);

private:
    void answer_node(const inbound_message& message,
                     const node_controller& node);
    void name_control_hosts(const host_id& to, const node_controller& node,
                            bool kept);
    void take_part(const inbound_message& message, node_controller& node);
    void pass_on(replication::replica_message hello, node_controller& node);
    void answer_founder(const replication::replica_message& message,
                        const replication::founding_request& request);
    void send(const replication::replica_message& message);
    std::set<host_id> known(const node_controller& node) const;

    host_id m_self;
    control_links& m_links;
    log_sink& m_log;
    // Control hosts that said hello here.
    std::set<host_id> m_introduced;
    // Nodes that asked while no control host was known.
    std::set<host_id> m_waiting;
    replication::founding_acceptor m_acceptor;
    // Whether a host said hello that holds a part of the log.
    bool m_knows_of_a_log = false;
};

} // namespace crowlink::internal
