#pragma once

#include "balancer/balancer_thread.hpp"
#include "control/blackboard.hpp"
#include "crowlink/balancer/balancer.hpp"
#include "crowlink/packet/datagram_port.hpp"
#include "crowlink/packet/ip_in_udp_port.hpp"
#include "crowlink/platform/flow_packet_port.hpp"

#include <memory>
#include <vector>

namespace crowlink::internal
{

// The balancer role of one daemon: a controller, which makes the forwarding set
// of the views on the blackboard, and the traffic threads that use it.
class balancer_role
{
public:
    // Binds all sockets and starts the threads.
    static result<std::unique_ptr<balancer_role>>
    open(const daemon_settings& settings, const key_ring& keys, log_sink& log);

    // Takes in changed views.
    void advance(time_point now, blackboard& board);

    // Where agents send answers.
    const endpoint& tunnel() const { return m_tunnel; }
    // The addresses that are listened on, as they were bound.
    const std::vector<endpoint>& listening() const { return m_listening; }

    // What the threads counted, as one text of each.
    std::vector<metrics_slot::pointer> reports() const;

    const snapshot_slot<forwarding_set>& sets() const { return m_sets; }

private:
    balancer_role() = default;

    result<void> open_thread(const daemon_settings& settings,
                             const key_ring& keys, log_sink& log);

    endpoint m_tunnel;
    std::vector<endpoint> m_listening;
    snapshot_slot<forwarding_set> m_sets;
    balancer m_core;
    service_views m_known;
    board_reader<service_views> m_views;
    std::vector<std::unique_ptr<balancer_thread<datagram_port>>>
        m_datagram_threads;
    std::vector<std::unique_ptr<balancer_thread<ip_in_udp_port>>> m_ip_threads;
    std::vector<std::unique_ptr<balancer_thread<platform::flow_packet_port>>>
        m_flow_threads;
};

} // namespace crowlink::internal
