#pragma once

#include "agent/agent_role.hpp"
#include "balancer/balancer_role.hpp"
#include "control/blackboard.hpp"
#include "control/control_links.hpp"
#include "control/document_controller.hpp"
#include "control/membership_controller.hpp"
#include "control/node_controller.hpp"
#include "control/reach_controller.hpp"
#include "control/relay_controller.hpp"
#include "crowlink/base/log_sink.hpp"
#include "shared/mailbox.hpp"
#include "shared/pause_monitor.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace crowlink::internal
{

// The one thread that owns a daemon's control state: the blackboard, and the
// controllers that read and write it.
class control_thread
{
public:
    // What a command may use, on the control thread.
    struct context
    {
        time_point now;
        blackboard& board;
        // Null without the control role.
        document_controller* documents;
        membership_controller* membership;
        // Null without a role of a node.
        node_controller* node;
        std::vector<std::unique_ptr<agent_role>>& agents;
    };

    using command = std::function<void(context&)>;

    // Opens sockets and the data folder. The roles must outlive the thread;
    // `balancer` may be null. A null authenticator stands for no keys.
    static result<std::unique_ptr<control_thread>>
    open(const daemon_settings& settings, const identity& own,
         zmq::context_t& zmq_context, const zap_authenticator* authenticator,
         balancer_role* balancer,
         std::vector<std::unique_ptr<agent_role>>& agents, log_sink& log);

    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    // Begins to run; nothing is lost that arrived before.
    void start();

    // The control hosts that the settings name by address; they may change.
    void set_seeds(std::vector<host_id> seeds);

    // Runs a command on the control thread; false if too many wait.
    bool post(command wanted) { return m_commands.post(std::move(wanted)); }

    // Runs a question on the control thread and waits for its answer for a
    // bounded time; `unavailable` after that.
    template <class Answer>
    result<Answer> ask(std::function<Answer(context&)> question);

    // Only with the control role: where whole documents are read.
    document_thread& documents() { return *m_reader; }

    // Whether storage has failed: the daemon can't go on.
    bool has_failed() const { return m_failed; }
    // Whether all records are announced as they are now.
    bool settled() const { return m_settled; }
    // Whether this node has a document in force.
    bool is_informed() const { return m_is_informed; }

    std::shared_ptr<const metrics> counters() const { return m_metrics.read(); }

private:
    control_thread(std::unique_ptr<control_links> links, log_sink& log,
                   balancer_role* balancer,
                   std::vector<std::unique_ptr<agent_role>>& agents);

    result<void> open_control(const daemon_settings& settings,
                              const zap_authenticator* authenticator);
    void open_node(const daemon_settings& settings);

    void run();
    void take_messages();
    void take_commands();
    void advance(time_point now);
    void forget_silent_nodes(time_point now);
    void publish_metrics(time_point now);

    log_sink& m_log;
    pause_monitor m_pauses;
    std::unique_ptr<control_links> m_links;
    balancer_role* m_balancer;
    std::vector<std::unique_ptr<agent_role>>& m_agents;
    std::shared_ptr<wake_event> m_wake = std::make_shared<wake_event>();
    mailbox<command> m_commands;
    blackboard m_board;
    std::unique_ptr<storage_thread> m_storage;
    std::optional<document_thread> m_reader;
    std::optional<document_controller> m_documents;
    std::optional<membership_controller> m_membership;
    // Empty where leases alone tell which data centres are reached.
    std::unique_ptr<reach_controller> m_reach;
    std::optional<node_controller> m_node;
    std::optional<relay_controller> m_relay;
    steady_clock_source m_clock;
    snapshot_slot<metrics> m_metrics;
    time_point m_next_metrics{};
    time_point m_next_silent_nodes{};
    std::atomic<bool> m_failed{false};
    std::atomic<bool> m_settled{false};
    std::atomic<bool> m_is_informed{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

template <class Answer>
result<Answer> control_thread::ask(std::function<Answer(context&)> question)
{
    constexpr std::chrono::seconds patience(5);
    const auto answer = std::make_shared<std::promise<Answer>>();
    std::future<Answer> waiting = answer->get_future();
    const bool posted =
        post([answer, asked = std::move(question)](context& with)
             { answer->set_value(asked(with)); });
    if (!posted || waiting.wait_for(patience) != std::future_status::ready)
    {
        return fail(error_kind::unavailable, "", "control is busy");
    }
    return waiting.get();
}

} // namespace crowlink::internal
