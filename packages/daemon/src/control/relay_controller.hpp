#pragma once

#include "control/control_links.hpp"
#include "crowlink/base/log_sink.hpp"

#include <set>
#include <vector>

namespace crowlink::internal
{

class node_controller;

// What a host without a disk does when it is taken for a control host, as the
// settings of others may name it: it tells nodes where control is, and passes
// on the hellos of control hosts that look for the log's leader. Nodes that ask
// before it knows of any are told as soon as one says hello.
class relay_controller
{
public:
    relay_controller(control_links& links, log_sink& log);

    // `node` is this host's own connection to control.
    void handle(const inbound_message& message, node_controller& node);

private:
    void answer_node(const inbound_message& message,
                     const node_controller& node);
    void name_control_hosts(const host_id& to, const node_controller& node,
                            bool kept);
    void pass_on(const inbound_message& message, node_controller& node);
    std::set<host_id> known(const node_controller& node) const;

    control_links& m_links;
    log_sink& m_log;
    // Control hosts that said hello here.
    std::set<host_id> m_introduced;
    // Nodes that asked while no control host was known.
    std::set<host_id> m_waiting;
};

} // namespace crowlink::internal
