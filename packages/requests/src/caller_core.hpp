#pragma once

#include "caller_paths.hpp"
#include "caller_request.hpp"
#include "crowlink/base/random.hpp"
#include "crowlink/requests/answer_part.hpp"
#include "crowlink/requests/caller_effects.hpp"
#include "crowlink/requests/caller_settings.hpp"
#include "crowlink/requests/retry_budget.hpp"
#include "crowlink/requests/session_opened.hpp"
#include "response_time_estimator.hpp"
#include "timer_queue.hpp"

#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crowlink::internal
{

class caller_core
{
public:
    caller_core(const caller_settings& settings, seeded_random random);

    request_id submit(time_point now, outgoing_request outgoing,
                      caller_effects& effects);
    void cancel(time_point now, request_id id, caller_effects& effects);
    void receive(time_point now, path_index path, std::string_view datagram,
                 caller_effects& effects);
    void advance(time_point now, caller_effects& effects);
    time_point next_wakeup() const;
    std::size_t outstanding() const { return m_requests.size(); }
    std::uint64_t ignored() const { return m_ignored; }

private:
    // Requests.
    std::optional<answer_reason>
    refusal_reason(const outgoing_request& outgoing) const;
    bool assign_path(time_point now, caller_request& request,
                     caller_effects& effects);
    void assign_waiting(time_point now, caller_effects& effects);
    std::optional<time_point>
    confirmed_since(time_point now, const caller_request& request) const;
    duration resend_timeout(const caller_attempt& attempt) const;
    std::optional<path_index> choose_path(time_point now,
                                          const caller_request& request) const;
    void begin_attempt(time_point now, caller_request& request, path_index path,
                       caller_effects& effects);
    void send_attempt(time_point now, caller_request& request,
                      std::size_t index, caller_effects& effects);
    void send_cancel(const caller_request& request, std::size_t index,
                     caller_effects& effects);
    void on_timeout(time_point now, caller_request& request,
                    caller_effects& effects);
    void resend(time_point now, caller_request& request,
                caller_effects& effects);
    void schedule_wakeup(const caller_request& request, time_point due);
    void finish(caller_request& request, request_answer answer,
                caller_effects& effects);
    void finish_without_answer(caller_request& request, answer_reason reason,
                               caller_effects& effects);

    // Answers.
    void handle(time_point now, path_index path, const session_opened& message,
                caller_effects& effects);
    void handle(time_point now, path_index path, const answer_part& message,
                caller_effects& effects);
    void handle_refusal(time_point now, caller_request& request,
                        const answer_part& message, caller_effects& effects);
    bool may_retry(const caller_request& request, answer_reason reason) const;
    time_point retry_time(time_point now, const caller_request& request);

    // Paths.
    void open_path(time_point now, path_index path, caller_effects& effects);
    duration opening_timeout(const caller_path& target) const;
    path_index replace_path(path_index path, caller_effects& effects);
    void replace_draining_path(time_point now, path_index path,
                               caller_effects& effects);
    void settle_attempt(const caller_attempt& attempt, caller_effects& effects);
    void open_next_path(time_point now, path_index path,
                        caller_effects& effects);
    void open_path_for(time_point now, const caller_request& request,
                       caller_effects& effects);
    void send_open(time_point now, path_index path, caller_effects& effects);
    void on_path_timeout(time_point now, path_index path,
                         caller_effects& effects);
    void refuse_waiting(time_point now, caller_effects& effects);
    double random_between(double low, double high);

    caller_settings m_settings;
    seeded_random m_random;
    std::uint64_t m_caller = 0;
    std::uint64_t m_last_number = 0;
    retry_budget m_budget;
    response_time_estimator m_response_time;
    caller_paths m_paths;
    std::unordered_map<std::uint64_t, caller_request> m_requests;
    // Numbers of the requests in phase waiting, oldest first.
    std::set<std::uint64_t> m_waiting;
    timer_queue m_request_timers;
    timer_queue m_path_timers;
    std::uint64_t m_ignored = 0;
};

} // namespace crowlink::internal
