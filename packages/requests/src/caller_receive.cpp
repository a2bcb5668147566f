// The part of caller_core that handles messages of agents and opens paths.

#include "caller_core.hpp"
#include "crowlink/requests/message_codec.hpp"

#include <algorithm>
#include <random>

namespace crowlink::internal
{

namespace
{

// Limit on the doublings of the resend timeout of an opening.
constexpr std::uint32_t max_doublings = 6;
// Unanswered openings after which a path is replaced by a new flow.
constexpr std::uint32_t max_openings_per_path = 3;

bool is_retryable(answer_reason reason)
{
    switch (reason)
    {
    case answer_reason::overloaded:
    case answer_reason::stale_ticket:
    case answer_reason::upstream_lost:
    case answer_reason::upstream_refused:
    case answer_reason::answer_lost:
    case answer_reason::draining:
        return true;
    default:
        return false;
    }
}

} // namespace

void caller_core::receive(time_point now, path_index path,
                          std::string_view datagram, caller_effects& effects)
{
    const auto message = decode_agent_message(datagram);
    if (!message || m_paths.find(path) == nullptr)
    {
        ++m_ignored;
        return;
    }
    std::visit([&](const auto& decoded)
               { handle(now, path, decoded, effects); },
               *message);
    assign_waiting(now, effects);
}

void caller_core::handle(time_point now, path_index path,
                         const session_opened& message, caller_effects& effects)
{
    caller_path& target = m_paths.at(path);
    if (!target.opening() || message.secret != target.secret() ||
        !m_paths.in_use(path))
    {
        ++m_ignored;
        return;
    }
    if (message.granted)
    {
        target.grant(now, *message.granted);
        m_path_timers.clear(path);
        return;
    }
    if (message.draining)
    {
        replace_draining_path(now, path, effects);
        return;
    }
    target.refuse_until(now + message.retry_after);
    m_path_timers.set(path, target.refused_until());
    open_next_path(now, path, effects);
    refuse_waiting(now, effects);
}

// Ends the waiting requests for which no path may request a ticket before their
// deadline.
void caller_core::refuse_waiting(time_point now, caller_effects& effects)
{
    const time_point earliest = m_paths.earliest_retry();
    if (earliest <= now)
    {
        return;
    }
    const std::set<std::uint64_t> waiting = m_waiting;
    for (const std::uint64_t number : waiting)
    {
        caller_request& request = m_requests.at(number);
        if (earliest >= request.deadline && !has_outstanding(request))
        {
            request.retry_after = earliest - now;
            finish_without_answer(request, answer_reason::overloaded, effects);
        }
    }
}

void caller_core::handle(time_point now, path_index path,
                         const answer_part& message, caller_effects& effects)
{
    const auto found = m_requests.find(message.id.number);
    if (message.id.caller != m_caller || found == m_requests.end() ||
        message.attempt == 0 || message.attempt > found->second.attempts.size())
    {
        ++m_ignored;
        return;
    }
    caller_request& request = found->second;
    caller_attempt& attempt = request.attempts[message.attempt - 1];
    if (attempt.path != path || attempt.state != attempt_state::outstanding)
    {
        ++m_ignored;
        return;
    }
    m_paths.at(path).confirm(now, attempt.session_ticket);
    if (message.outcome != verdict::ran)
    {
        handle_refusal(now, request, message, effects);
        return;
    }
    attempt.answer.add(message.part, message.parts, message.body);
    if (attempt.answer.is_complete())
    {
        // After a resend it is unknown which send was answered, so the response
        // time is ambiguous.
        if (attempt.sends == 1)
        {
            m_response_time.observe(now - attempt.first_sent);
        }
        attempt.state = attempt_state::unknown;
        finish(request,
               request_answer{verdict::ran,
                              answer_reason::answered,
                              {},
                              attempt.answer.take()},
               effects);
    }
}

void caller_core::handle_refusal(time_point now, caller_request& request,
                                 const answer_part& message,
                                 caller_effects& effects)
{
    caller_attempt& attempt = request.attempts[message.attempt - 1];
    attempt.state = message.outcome == verdict::not_run
                        ? attempt_state::not_run
                        : attempt_state::unknown;
    request.reason = message.reason;
    request.retry_after = message.retry_after;
    if (message.reason == answer_reason::stale_ticket)
    {
        m_paths.at(attempt.path).invalidate(attempt.session_ticket);
    }
    if (message.reason == answer_reason::draining &&
        m_paths.in_use(attempt.path))
    {
        replace_draining_path(now, attempt.path, effects);
    }
    settle_attempt(attempt, effects);
    if (has_outstanding(request))
    {
        return;
    }
    if (request.phase == request_phase::cancelling)
    {
        finish_without_answer(request, answer_reason::cancelled, effects);
        return;
    }
    const time_point due = retry_time(now, request);
    // A draining agent refuses each path once. This retry is exempt from the
    // budget, so that a planned change does not use it up.
    const bool exempt = message.reason == answer_reason::draining;
    if (due >= request.deadline || !may_retry(request, message.reason) ||
        (!exempt && !m_budget.withdraw()))
    {
        finish_without_answer(request, message.reason, effects);
        return;
    }
    request.phase = request_phase::backing_off;
    m_waiting.erase(request.number);
    schedule_wakeup(request, due);
}

bool caller_core::may_retry(const caller_request& request,
                            answer_reason reason) const
{
    const bool safe = request.outgoing.idempotent ||
                      verdict_without_answer(request) == verdict::not_run;
    return safe && is_retryable(reason) &&
           request.attempts.size() < m_settings.attempt_limit;
}

time_point caller_core::retry_time(time_point now,
                                   const caller_request& request)
{
    const auto doubled = m_settings.backoff * (1U << request.attempts.size());
    const auto backoff = std::chrono::duration_cast<duration>(
        doubled * random_between(0.25, 0.75));
    const auto requested = std::chrono::duration_cast<duration>(
        request.retry_after * random_between(1.0, 1.25));
    return now + std::max(backoff, requested);
}

void caller_core::open_path(time_point now, path_index path,
                            caller_effects& effects)
{
    caller_path& target = m_paths.at(path);
    if (target.opening())
    {
        return;
    }
    target.begin_opening(m_random());
    send_open(now, path, effects);
}

void caller_core::send_open(time_point now, path_index path,
                            caller_effects& effects)
{
    caller_path& target = m_paths.at(path);
    effects.datagrams.push_back(
        {path, encode(caller_message(open_session{target.secret()}))});
    m_path_timers.set(path, now + opening_timeout(target));
}

duration caller_core::opening_timeout(const caller_path& target) const
{
    const std::uint32_t doublings =
        std::min(target.openings_sent() - 1, max_doublings);
    return m_settings.resend_after * (1U << doublings);
}

// Called when an opening went unanswered, or when a path that was refused a
// ticket may request one again.
void caller_core::on_path_timeout(time_point now, path_index path,
                                  caller_effects& effects)
{
    caller_path& target = m_paths.at(path);
    const bool has_waiting = !m_waiting.empty();
    if (target.openings_sent() % max_openings_per_path == 0)
    {
        // A device on the way may have lost the state of this flow.
        path = replace_path(path, effects);
        if (!has_waiting)
        {
            return;
        }
        open_path(now, path, effects);
    }
    else if (has_waiting || target.confirmation_required())
    {
        target.count_opening();
        send_open(now, path, effects);
    }
    else
    {
        target.end_opening();
        return;
    }
    open_next_path(now, path, effects);
}

path_index caller_core::replace_path(path_index path, caller_effects& effects)
{
    m_path_timers.clear(path);
    const path_index fresh = m_paths.replace(path);
    if (m_paths.find(path) == nullptr)
    {
        effects.closed.push_back(path);
    }
    return fresh;
}

// Replaces a path whose agent is draining by a new flow, which reaches another
// agent. The new path is opened immediately, or after a timeout if the replaced
// path was itself still waiting for a ticket.
void caller_core::replace_draining_path(time_point now, path_index path,
                                        caller_effects& effects)
{
    const path_index fresh = replace_path(path, effects);
    caller_path& target = m_paths.at(fresh);
    if (target.openings_sent() == 0)
    {
        open_path(now, fresh, effects);
        return;
    }
    target.begin_opening(m_random());
    m_path_timers.set(fresh, now + opening_timeout(target));
}

void caller_core::settle_attempt(const caller_attempt& attempt,
                                 caller_effects& effects)
{
    if (m_paths.settle(attempt.path, attempt.sequence))
    {
        effects.closed.push_back(attempt.path);
    }
}

void caller_core::open_next_path(time_point now, path_index path,
                                 caller_effects& effects)
{
    const path_index next = m_paths.after(path);
    if (!m_paths.at(next).granted())
    {
        open_path(now, next, effects);
    }
}

// Starts an exchange for a ticket on a path that the request could use, unless
// an exchange is already in progress.
void caller_core::open_path_for(time_point now, const caller_request& request,
                                caller_effects& effects)
{
    const std::optional<time_point> since = confirmed_since(now, request);
    std::optional<path_index> chosen;
    for (std::size_t step = 0; step < m_paths.count(); ++step)
    {
        const path_index path = m_paths.at_turn(step);
        if (m_paths.at(path).opening())
        {
            return;
        }
        if (!chosen && m_paths.at(path).needs_opening(since))
        {
            chosen = path;
        }
    }
    if (chosen)
    {
        open_path(now, *chosen, effects);
    }
}

double caller_core::random_between(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(m_random);
}

} // namespace crowlink::internal
