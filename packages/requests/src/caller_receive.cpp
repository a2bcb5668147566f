// The part of caller_core that takes agents' messages and opens paths.

#include "caller_core.hpp"
#include "crowlink/requests/message_codec.hpp"

#include <algorithm>
#include <random>

namespace crowlink::internal
{

namespace
{

// A path's opening is resent at most this many doublings apart.
constexpr std::uint32_t longest_doubling = 6;
// Unanswered openings after which a new flow takes a path's place.
constexpr std::uint32_t tries_of_a_path = 3;

bool worth_a_retry(answer_reason reason)
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
    std::visit([&](const auto& taken) { take(now, path, taken, effects); },
               *message);
    place_waiting(now, effects);
}

void caller_core::take(time_point now, path_index path,
                       const session_opened& message, caller_effects& effects)
{
    caller_path& opened = m_paths.at(path);
    if (!opened.opening() || message.secret != opened.secret() ||
        !m_paths.in_use(path))
    {
        ++m_ignored;
        return;
    }
    if (message.granted)
    {
        opened.grant(now, *message.granted);
        m_path_wakeups.clear(path);
        return;
    }
    if (message.draining)
    {
        leave(now, path, effects);
        return;
    }
    opened.refuse_until(now + message.retry_after);
    m_path_wakeups.set(path, opened.refused_until());
    open_next(now, path, effects);
    refuse_waiting(now, effects);
}

// Ends what waits if every path was refused until after its deadline.
void caller_core::refuse_waiting(time_point now, caller_effects& effects)
{
    const time_point earliest = m_paths.earliest_refusal();
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

void caller_core::take(time_point now, path_index path,
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
    if (attempt.path != path ||
        attempt.standing != attempt_standing::outstanding)
    {
        ++m_ignored;
        return;
    }
    m_paths.at(path).hear(now, attempt.under);
    if (message.outcome != verdict::ran)
    {
        take_refusal(now, request, message, effects);
        return;
    }
    attempt.answer.add(message.part, message.parts, message.body);
    if (attempt.answer.whole())
    {
        // After a resend it is not known which send was answered.
        if (attempt.sends == 1)
        {
            m_answer_time.observe(now - attempt.first_sent);
        }
        attempt.standing = attempt_standing::unknown;
        finish(request,
               request_answer{verdict::ran,
                              answer_reason::answered,
                              {},
                              attempt.answer.take()},
               effects);
    }
}

void caller_core::take_refusal(time_point now, caller_request& request,
                               const answer_part& message,
                               caller_effects& effects)
{
    caller_attempt& attempt = request.attempts[message.attempt - 1];
    attempt.standing = message.outcome == verdict::not_run
                           ? attempt_standing::not_run
                           : attempt_standing::unknown;
    request.reason = message.reason;
    request.retry_after = message.retry_after;
    if (message.reason == answer_reason::stale_ticket)
    {
        m_paths.at(attempt.path).drop(attempt.under);
    }
    if (message.reason == answer_reason::draining &&
        m_paths.in_use(attempt.path))
    {
        leave(now, attempt.path, effects);
    }
    settle(attempt, effects);
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
    // An agent that leaves refuses each path once: a planned change costs no
    // retry.
    const bool free = message.reason == answer_reason::draining;
    if (due >= request.deadline || !may_retry(request, message.reason) ||
        (!free && !m_budget.withdraw()))
    {
        finish_without_answer(request, message.reason, effects);
        return;
    }
    request.phase = request_phase::backing_off;
    m_waiting.erase(request.number);
    wait_until(request, due);
}

bool caller_core::may_retry(const caller_request& request,
                            answer_reason reason) const
{
    const bool safe = request.wanted.idempotent ||
                      verdict_without_answer(request) == verdict::not_run;
    return safe && worth_a_retry(reason) &&
           request.attempts.size() < m_settings.attempt_limit;
}

time_point caller_core::retry_time(time_point now,
                                   const caller_request& request)
{
    const auto doubled = m_settings.backoff * (1U << request.attempts.size());
    const auto least =
        std::chrono::duration_cast<duration>(doubled * draw(0.25, 0.75));
    const auto told = std::chrono::duration_cast<duration>(request.retry_after *
                                                           draw(1.0, 1.25));
    return now + std::max(least, told);
}

void caller_core::open(time_point now, path_index path, caller_effects& effects)
{
    caller_path& opened = m_paths.at(path);
    if (opened.opening())
    {
        return;
    }
    opened.begin_opening(m_random());
    send_open(now, path, effects);
}

void caller_core::send_open(time_point now, path_index path,
                            caller_effects& effects)
{
    caller_path& opened = m_paths.at(path);
    effects.datagrams.push_back(
        {path, encode(caller_message(open_session{opened.secret()}))});
    m_path_wakeups.set(path, now + opening_time(opened));
}

duration caller_core::opening_time(const caller_path& opened) const
{
    const std::uint32_t doublings =
        std::min(opened.tries() - 1, longest_doubling);
    return m_settings.resend_after * (1U << doublings);
}

// The opening of a path went unanswered, or may be asked for again.
void caller_core::take_due_path(time_point now, path_index path,
                                caller_effects& effects)
{
    caller_path& opened = m_paths.at(path);
    const bool wanted = !m_waiting.empty();
    if (opened.tries() % tries_of_a_path == 0)
    {
        // Something on the way may have lost track of this flow.
        path = replace(path, effects);
        if (!wanted)
        {
            return;
        }
        open(now, path, effects);
    }
    else if (wanted || opened.doubted())
    {
        opened.count_try();
        send_open(now, path, effects);
    }
    else
    {
        opened.end_opening();
        return;
    }
    open_next(now, path, effects);
}

path_index caller_core::replace(path_index path, caller_effects& effects)
{
    m_path_wakeups.clear(path);
    const path_index fresh = m_paths.replace(path);
    if (m_paths.find(path) == nullptr)
    {
        effects.closed.push_back(path);
    }
    return fresh;
}

// The agent behind a path leaves: a new flow finds another one, at once unless
// this was a new flow itself.
void caller_core::leave(time_point now, path_index path,
                        caller_effects& effects)
{
    const path_index fresh = replace(path, effects);
    caller_path& opened = m_paths.at(fresh);
    if (opened.tries() == 0)
    {
        open(now, fresh, effects);
        return;
    }
    opened.begin_opening(m_random());
    m_path_wakeups.set(fresh, now + opening_time(opened));
}

void caller_core::settle(const caller_attempt& attempt, caller_effects& effects)
{
    if (m_paths.settle(attempt.path, attempt.sequence))
    {
        effects.closed.push_back(attempt.path);
    }
}

void caller_core::open_next(time_point now, path_index path,
                            caller_effects& effects)
{
    const path_index next = m_paths.after(path);
    if (!m_paths.at(next).granted())
    {
        open(now, next, effects);
    }
}

// Starts an exchange for a ticket that the request needs, unless one runs.
void caller_core::open_one(time_point now, const caller_request& request,
                           caller_effects& effects)
{
    const std::optional<time_point> since = confirmed_since(now, request);
    std::optional<path_index> chosen;
    for (std::size_t step = 0; step < m_paths.count(); ++step)
    {
        const path_index path = m_paths.in_turn(step);
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
        open(now, *chosen, effects);
    }
}

double caller_core::draw(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(m_random);
}

} // namespace crowlink::internal
