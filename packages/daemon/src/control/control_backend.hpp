#pragma once

#include "control/control_thread.hpp"
#include "crowlink/console/operator_backend.hpp"

#include <functional>
#include <string>

namespace crowlink::internal
{

// What the console asks of this daemon. Each function runs a question on the
// control thread and waits for a bounded time.
class control_backend
{
public:
    // `render` makes the text of all metrics of the daemon.
    control_backend(const daemon_settings& settings, control_thread& control,
                    std::function<std::string()> render);

    result<versioned_document> document();
    result<versioned_document> document_at(config_version version);
    result<change_outcome> change(const change_request& request);
    result<std::vector<history_entry>> history(std::size_t most);
    result<status_report> status();
    result<std::vector<member_entry>> members();
    result<std::vector<member_entry>>
    change_members(const member_change& change);
    result<void> evacuate(const evacuation_request& order);
    result<explain_answer> explain(const flow_key& flow);
    readiness ready();
    std::string render_metrics() { return m_render(); }

private:
    using context = control_thread::context;

    result<void> change_one_member(const replication::member_change& change);
    bool is_voter(const host_id& host);
    std::vector<member_entry> list_members(const context& with) const;

    const daemon_settings& m_settings;
    control_thread& m_control;
    std::function<std::string()> m_render;
};

static_assert(operator_backend<control_backend>,
              "the daemon's backend must satisfy what the console needs");

} // namespace crowlink::internal
