#pragma once

#include "agent_thread.hpp"
#include "blackboard.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "traffic_report.hpp"

#include <memory>

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
    void read_wanted(blackboard& board) const;
    // Passes what changed on the blackboard to the agent.
    void advance(const blackboard& board);

    // Flows that are open now.
    std::size_t flows() const { return m_thread->flows(); }
    duration drain_time() const { return m_drain_time; }

    metrics_slot::pointer report() const { return m_thread->report().read(); }

private:
    explicit agent_role(const agent_role_settings& own);

    upstream_record m_first;
    duration m_drain_time;
    agent_exchange m_exchange;
    board_reader<service_views> m_views;
    std::shared_ptr<const service_view> m_known;
    std::unique_ptr<agent_thread> m_thread;
};

} // namespace crowlink::internal
