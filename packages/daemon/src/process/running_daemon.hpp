#pragma once

#include "agent/agent_role.hpp"
#include "balancer/balancer_role.hpp"
#include "control/control_backend.hpp"
#include "control/control_thread.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/console/console.hpp"
#include "crowlink/platform/http_port.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/zap_authenticator.hpp"
#include "process/health_server.hpp"
#include "process/identity.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace crowlink::internal
{

// All roles of one daemon, started. The members are destroyed in reverse: HTTP
// first, then control, and what carries packets last.
class running_daemon
{
public:
    // Opens everything that the settings name, or nothing.
    static result<std::unique_ptr<running_daemon>>
    start(const daemon_settings& settings, log_sink& log);

    ~running_daemon();

    // Takes in what may change while the daemon runs: the control hosts that
    // the settings name by address.
    void reload(const daemon_settings& fresh);

    // Takes in new grants from the file of allowed keys.
    void reload_grants();

    // Begins to drain: upstreams take no new flow, balancers are announced as
    // gone and still serve.
    void drain();
    // Whether no flow is left, or the time for it is over.
    bool drained() const;
    // Withdraws all records.
    void leave();
    // Whether the records are withdrawn and late packets were served.
    bool left() const;

    bool has_failed() const { return m_control->has_failed(); }

    control_thread& control() { return *m_control; }
    // What the platform's readiness probe is told.
    bool is_ready() const;
    // Null without the balancer role.
    const balancer_role* balancing() const { return m_balancer.get(); }

private:
    running_daemon(const daemon_settings& settings, log_sink& log);

    result<void> open();
    result<void> open_traffic();
    result<void> open_http();
    result<void> open_platform();
    void find_upstreams();
    void set_phase(stop_phase phase);
    std::size_t flows() const;
    std::string render_metrics() const;
    void log_started() const;

    daemon_settings m_settings;
    log_sink& m_log;
    steady_clock_source m_clock;
    identity m_identity;
    zmq::context_t m_zmq;
    std::unique_ptr<zap_authenticator> m_authenticator;
    std::unique_ptr<balancer_role> m_balancer;
    std::vector<std::unique_ptr<agent_role>> m_agents;
    std::unique_ptr<control_thread> m_control;
    std::optional<control_backend> m_backend;
    std::unique_ptr<console> m_console;
    std::unique_ptr<health_server> m_health;
    std::vector<std::unique_ptr<platform::http_port>> m_platform;
    std::atomic<bool> m_is_leaving{false};
    // Each ends by itself within seconds.
    std::vector<std::thread> m_finding;
    time_point m_drain_until{};
    time_point m_leave_until{};
    time_point m_serve_until{};
};

} // namespace crowlink::internal
