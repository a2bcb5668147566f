#pragma once

#include "balancer/balancer_thread.hpp"
#include "control/blackboard.hpp"
#include "crowlink/balancer/balancer.hpp"
#include "crowlink/balancer/rotation_policy.hpp"
#include "crowlink/packet/datagram_port.hpp"
#include "crowlink/packet/ip_in_udp_port.hpp"
#include "crowlink/platform/flow_packet_port.hpp"

#include <atomic>
#include <memory>
#include <optional>
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

    // Takes in changed views and entry hosts.
    void advance(time_point now, blackboard& board);

    // Whether this host should get flows from the fabric, for any thread.
    bool is_in_rotation() const { return m_is_in_rotation; }

    // Where agents send answers.
    const endpoint& tunnel() const { return m_tunnel; }
    // The addresses that are listened on, as they were bound.
    const std::vector<endpoint>& listening() const { return m_listening; }

    // What the threads counted, as one text of each.
    std::vector<metrics_slot::pointer> reports() const;

    const snapshot_slot<forwarding_set>& sets() const { return m_sets; }

private:
    explicit balancer_role(log_sink& log) : m_log(log) {}

    void advance_rotation(time_point now, const blackboard& board);

    result<void> open_thread(const daemon_settings& settings,
                             const key_ring& keys, log_sink& log);

    log_sink& m_log;
    endpoint m_tunnel;
    std::vector<endpoint> m_listening;
    snapshot_slot<forwarding_set> m_sets;
    balancer m_core;
    service_views m_known;
    board_reader<service_views> m_views;
    // Empty where the link's capacity is not set: the host is then always in.
    std::optional<rotation_policy> m_rotation;
    board_reader<std::vector<host_capacity>> m_entry_hosts;
    std::atomic<bool> m_is_in_rotation{true};
    std::vector<std::unique_ptr<balancer_thread<datagram_port>>>
        m_datagram_threads;
    std::vector<std::unique_ptr<balancer_thread<ip_in_udp_port>>> m_ip_threads;
    std::vector<std::unique_ptr<balancer_thread<platform::flow_packet_port>>>
        m_flow_threads;
};

} // namespace crowlink::internal
