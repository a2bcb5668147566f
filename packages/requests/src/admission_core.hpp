#pragma once

#include "crowlink/requests/admission_counts.hpp"
#include "crowlink/requests/admission_effects.hpp"
#include "crowlink/requests/admission_settings.hpp"
#include "crowlink/requests/at_most_once.hpp"
#include "crowlink/requests/fair_order.hpp"
#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/run_times.hpp"
#include "crowlink/requests/work_queue.hpp"
#include "job.hpp"
#include "timer_queue.hpp"

#include <optional>
#include <string_view>
#include <unordered_map>

namespace crowlink::internal
{

// The arrival time and flow of a caller's message, and the resulting effects.
struct message_context
{
    time_point now;
    const flow_key& flow;
    admission_effects& effects;
};

class admission_core
{
public:
    admission_core(const admission_settings& settings, incarnation own);

    void handle_datagram(time_point now, const flow_key& flow,
                         std::string_view datagram, admission_effects& effects);
    void handle_upstream(time_point now, std::string_view datagram,
                         admission_effects& effects);
    void upstream_lost(admission_effects& effects);
    void upstream_ready(time_point now, admission_effects& effects);
    void drain() { m_draining = true; }
    void apply(time_point now, const admission_settings& settings,
               admission_effects& effects);
    void advance(time_point now, admission_effects& effects);
    time_point next_wakeup() const { return m_timers.next_due(); }
    const admission_counts& counts() const { return m_counts; }

private:
    // One overload per type of caller message.
    void handle(const message_context& context, const open_session& message);
    void handle(const message_context& context, const request_part& message);
    void handle(const message_context& context, const request_cancel& message);

    // Reception.
    void create_job(const message_context& context, const request_part& message,
                    remembered_request& remembered);
    void add_part(const message_context& context, const request_part& message,
                  job& target);
    void resend_answer(const message_context& context, request_id id,
                       std::uint32_t attempt, const request_answer& answer);
    void refuse_stale(const message_context& context, request_id id,
                      std::uint32_t attempt);

    // Admission and execution.
    void admit(time_point now, job& received, admission_effects& effects);
    std::optional<answer_reason> refusal_reason(time_point now,
                                                const job& received) const;
    bool must_wait() const;
    void start_queued(time_point now, admission_effects& effects);
    void start(time_point now, job& next, admission_effects& effects);
    void cancel_run(job& running, admission_effects& effects);
    void refuse(job& target, answer_reason reason, admission_effects& effects);
    void end(job& target, request_answer answer, admission_effects& effects);
    void release_slot(const job& target, admission_effects& effects);
    void on_timeout(time_point now, job& expired, admission_effects& effects);
    request_answer convert_answer(const job& run, upstream_answer& from) const;

    // Settings.
    std::optional<kind_index> find_kind(std::string_view name) const;
    std::string kind_name(const job& target) const;
    void renumber_kinds(const std::vector<request_kind>& before,
                        admission_effects& effects);
    duration retry_after() const;
    void record_decision(admission_step step, const job& subject,
                         answer_reason reason, admission_effects& effects);
    void send(const flow_key& flow, request_id id, std::uint32_t attempt,
              const request_answer& answer, admission_effects& effects);

    admission_settings m_settings;
    incarnation m_own;
    at_most_once m_memory;
    run_times m_run_times;
    work_queue<fair_order> m_queue;
    std::unordered_map<std::uint64_t, job> m_jobs;
    timer_queue m_timers;
    std::uint64_t m_last_job = 0;
    std::size_t m_body_bytes = 0;
    bool m_upstream_up = true;
    bool m_draining = false;
    admission_counts m_counts;
};

} // namespace crowlink::internal
