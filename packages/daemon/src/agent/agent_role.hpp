#pragma once

#include "agent/agent_thread.hpp"
#include "control/blackboard.hpp"
#include "crowlink/agent/upstream_announcement.hpp"
#include "crowlink/agent/upstream_tracker.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "shared/traffic_report.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace crowlink::internal
{

// One agent of a daemon as the control thread sees it: a controller, which
// passes views and the wish to leave to the agent's traffic thread, and reads
// what that wants announced.
class agent_role
{
public:
    // Binds the tunnel and starts the thread.
    static result<std::unique_ptr<agent_role>>
    open(const daemon_settings& settings, const agent_role_settings& own,
         const key_ring& keys, log_sink& log);

    // The record as it is to be announced first.
    const upstream_record& first_record() const { return m_first; }

    // Lets the agent's thread wake the control thread. Called once, before the
    // control thread runs.
    void wake_on_change(std::shared_ptr<const wake_event> wake);

    // Puts what the agent wants announced on the blackboard.
    void read_wanted(blackboard& board);
    // Passes what changed on the blackboard to the agent.
    void advance(time_point now, const blackboard& board);

    // Whether the upstream announces itself, by the calls below; they may come
    // from any thread.
    bool is_announced() const;
    result<void> announce(time_point now, const upstream_announcement& told);
    void withdraw(time_point now, const upstream_withdrawal& told);
    void found(time_point now, const upstream_id& id, bool leaves);
    // Whether the upstream has ended, or has not been heard of.
    bool is_upstream_gone() const;

    // Flows that are open now.
    std::size_t flows() const { return m_thread->flows(); }
    duration drain_time() const { return m_drain_time; }

    metrics_slot::pointer report() const { return m_thread->report().read(); }

private:
    explicit agent_role(const agent_role_settings& own);

    void watch_upstream(time_point now);
    void publish_status();

    upstream_record m_first;
    duration m_drain_time;
    agent_exchange m_exchange;
    board_reader<service_views> m_views;
    std::shared_ptr<const service_view> m_known;
    std::shared_ptr<const std::map<upstream_id, upstream_record>> m_read;
    service_id m_service;
    mutable std::mutex m_life_mutex;
    std::optional<upstream_tracker> m_life;
    std::optional<tracked_upstream> m_told;
    std::unique_ptr<agent_thread> m_thread;
};

} // namespace crowlink::internal
