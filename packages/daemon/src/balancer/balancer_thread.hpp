#pragma once

#include "crowlink/balancer/egress_scheduler.hpp"
#include "crowlink/balancer/traffic_path.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/packet/caller_port.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "shared/decision_limit.hpp"
#include "shared/snapshot_slot.hpp"
#include "shared/traffic_report.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace crowlink::internal
{

// One traffic thread of a balancer: callers' packets to agents, and answers
// back. It reads the forwarding set as a snapshot, once a batch, and never
// waits for anything but packets.
template <caller_port Port>
class balancer_thread
{
public:
    using set_slot = snapshot_slot<forwarding_set>;

    // The sockets are bound already; `callers` are those that callers' packets
    // arrive on. Without `link_mbps`, what is sent to agents is not paced.
    balancer_thread(Port port, std::vector<udp_socket> callers,
                    udp_socket tunnel, const key_ring& keys,
                    const set_slot& sets, log_sink& log,
                    const log_settings& logging,
                    std::optional<double> link_mbps);
    balancer_thread(const balancer_thread&) = delete;
    balancer_thread& operator=(const balancer_thread&) = delete;
    // Stops after the batch under way.
    ~balancer_thread();

    const metrics_slot& report() const { return m_report; }

private:
    void start_listening();
    void run();
    void take_from_callers(const udp_socket& socket);
    void refuse_unopened(const caller_packet& packet);
    void take_from_agents();
    void route(const forwarding_set& set, const udp_socket& socket,
               std::size_t index);
    void send_or_queue(const caller_packet& packet,
                       const routed_packet& routed);
    void send_due();
    duration longest_wait() const;
    void answer(const caller_answer& value);
    void
    send_to_caller(const tl::expected<outgoing_datagram, packet_drop>& answer);
    void log_route(const forwarding_set& set, const flow_key& flow);
    void log_early_refusal(const flow_key& flow);
    void log_notice(const notice_datagram& notice);
    void publish_report();

    Port m_port;
    std::vector<udp_socket> m_callers;
    udp_socket m_tunnel;
    traffic_path m_path;
    const set_slot& m_sets;
    log_sink& m_log;
    decision_limit m_limit;
    // Of what callers are told, which routes must not displace.
    decision_limit m_notice_limit;
    datagram_batch m_received;
    datagram_batch m_to_agents;
    std::optional<egress_scheduler> m_egress;
    std::vector<std::uint8_t> m_buffer;
    poller m_poller;
    wake_event m_stop;
    steady_clock_source m_clock;
    // When it started, and whether it reads callers' packets by now.
    time_point m_started = m_clock.now();
    bool m_listens = false;
    std::array<std::uint64_t, packet_drop_count> m_packet_drops{};
    std::uint64_t m_unsent = 0;
    std::uint64_t m_truncated = 0;
    time_point m_now{};
    time_point m_next_report{};
    metrics_slot m_report;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace crowlink::internal
