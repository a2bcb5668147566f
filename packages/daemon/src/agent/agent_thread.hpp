#pragma once

#include "agent/agent_exchange.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/udp_socket.hpp"
#include "crowlink/wire/key_ring.hpp"
#include "shared/traffic_report.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>

namespace crowlink::internal
{

// What an agent's thread tells the others about itself.
struct agent_gauges
{
    std::atomic<std::size_t> flows{0};
    std::atomic<bool> stopping{false};
    metrics_slot report;
};

// The traffic thread of one agent: it owns the agent's state machine, its
// tunnel and its sockets towards the upstream.
class agent_thread
{
public:
    // Binds the sockets towards the upstream. The exchange must outlive the
    // thread.
    static result<std::unique_ptr<agent_thread>>
    start(const upstream_record& first, const daemon_settings& settings,
          const agent_role_settings& own, udp_socket tunnel,
          const key_ring& keys, agent_exchange& exchange, log_sink& log);
    agent_thread(const agent_thread&) = delete;
    agent_thread& operator=(const agent_thread&) = delete;
    ~agent_thread();

    // Flows that are open now.
    std::size_t flows() const { return m_gauges.flows; }
    const metrics_slot& report() const { return m_gauges.report; }

private:
    explicit agent_thread(agent_exchange& exchange) : m_exchange(exchange) {}

    agent_exchange& m_exchange;
    agent_gauges m_gauges;
    std::thread m_thread;
};

} // namespace crowlink::internal
