// The part of caller_core that sends requests and ends them.

#include "caller_core.hpp"
#include "crowlink/requests/message_codec.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// Sends of one attempt of an idempotent request before it goes elsewhere.
constexpr std::uint32_t idempotent_sends = 2;
// Resends of one attempt are at most this many doublings apart.
constexpr std::uint32_t longest_doubling = 6;

} // namespace

caller_core::caller_core(const caller_settings& settings, seeded_random random)
    : m_settings(settings)
    , m_random(random)
    , m_caller(m_random())
    , m_budget(settings.retry_ratio, settings.retry_burst)
    , m_paths(settings.paths)
{
}

request_id caller_core::submit(time_point now, outgoing_request wanted,
                               caller_effects& effects)
{
    const std::uint64_t number = ++m_last_number;
    const bool full = m_requests.size() >= m_settings.outstanding_limit;
    caller_request& request = m_requests[number];
    request.number = number;
    request.deadline = now + wanted.deadline;
    request.wanted = std::move(wanted);
    m_budget.deposit();
    if (full)
    {
        request.retry_after = m_settings.backoff;
        finish_without_answer(request, answer_reason::overloaded, effects);
    }
    else if (const auto reason = refusal(request.wanted))
    {
        finish_without_answer(request, *reason, effects);
    }
    else if (place(now, request, effects))
    {
        // Load spreads over all paths, so each is opened before it is needed.
        open_one(now, request, effects);
    }
    else
    {
        refuse_waiting(now, effects);
    }
    return {m_caller, number};
}

std::optional<answer_reason>
caller_core::refusal(const outgoing_request& wanted) const
{
    if (wanted.body.size() > body_limit || wanted.kind.size() > kind_name_limit)
    {
        return answer_reason::too_large;
    }
    if (wanted.deadline <= duration::zero())
    {
        return answer_reason::expired;
    }
    return std::nullopt;
}

void caller_core::cancel(time_point now, request_id id, caller_effects& effects)
{
    const auto found = m_requests.find(id.number);
    if (id.caller != m_caller || found == m_requests.end() ||
        found->second.phase == request_phase::cancelling)
    {
        return;
    }
    caller_request& request = found->second;
    if (!has_outstanding(request))
    {
        finish_without_answer(request, answer_reason::cancelled, effects);
        return;
    }
    request.phase = request_phase::cancelling;
    m_waiting.erase(request.number);
    for (std::size_t index = 0; index < request.attempts.size(); ++index)
    {
        send_cancel(request, index, effects);
    }
    wait_until(request, now + m_settings.cancel_wait);
}

void caller_core::advance(time_point now, caller_effects& effects)
{
    while (const auto due = m_path_wakeups.take(now))
    {
        take_due_path(now, static_cast<path_index>(*due), effects);
    }
    while (const auto due = m_request_wakeups.take(now))
    {
        take_due(now, m_requests.at(*due), effects);
    }
    place_waiting(now, effects);
}

time_point caller_core::next_wakeup() const
{
    return std::min(m_request_wakeups.next(), m_path_wakeups.next());
}

void caller_core::take_due(time_point now, caller_request& due,
                           caller_effects& effects)
{
    if (due.phase == request_phase::cancelling)
    {
        finish_without_answer(due, answer_reason::cancelled, effects);
        return;
    }
    if (now >= due.deadline)
    {
        const bool sent = !due.attempts.empty();
        finish_without_answer(
            due, sent ? answer_reason::expired : answer_reason::unreachable,
            effects);
        return;
    }
    if (due.phase == request_phase::backing_off)
    {
        place(now, due, effects);
        return;
    }
    resend(now, due, effects);
}

// Nothing was heard of the latest attempt for its resend time.
void caller_core::resend(time_point now, caller_request& request,
                         caller_effects& effects)
{
    const std::size_t index = last_outstanding(request);
    const caller_attempt& attempt = request.attempts[index];
    m_paths.at(attempt.path).doubt(attempt.first_sent);
    const bool elsewhere = request.wanted.idempotent &&
                           attempt.sends >= idempotent_sends &&
                           request.attempts.size() < m_settings.attempt_limit;
    if (elsewhere)
    {
        const auto path = choose_path(now, request);
        if (path && *path != attempt.path && m_budget.withdraw())
        {
            begin_attempt(now, request, *path, effects);
            return;
        }
        open_one(now, request, effects);
    }
    if (attempt.sends >= m_settings.send_limit)
    {
        wait_until(request, request.deadline);
        return;
    }
    if (!m_budget.withdraw())
    {
        wait_until(request, now + resend_time(attempt));
        return;
    }
    send_attempt(now, request, index, effects);
}

duration caller_core::resend_time(const caller_attempt& attempt) const
{
    const std::uint32_t doublings = std::min(attempt.sends, longest_doubling);
    const duration first =
        std::max(m_settings.resend_after, m_answer_time.timeout());
    return first * (1U << doublings);
}

bool caller_core::place(time_point now, caller_request& request,
                        caller_effects& effects)
{
    if (const auto path = choose_path(now, request))
    {
        m_waiting.erase(request.number);
        begin_attempt(now, request, *path, effects);
        return true;
    }
    request.phase = request_phase::waiting;
    m_waiting.insert(request.number);
    wait_until(request, request.deadline);
    open_one(now, request, effects);
    return false;
}

std::optional<time_point>
caller_core::confirmed_since(time_point now,
                             const caller_request& request) const
{
    if (request.wanted.idempotent)
    {
        return std::nullopt;
    }
    return now - m_settings.ticket_fresh_for;
}

void caller_core::place_waiting(time_point now, caller_effects& effects)
{
    bool once_blocked = false;
    for (auto next = m_waiting.begin(); next != m_waiting.end();)
    {
        caller_request& request = m_requests.at(*next);
        ++next;
        if (once_blocked && !request.wanted.idempotent)
        {
            continue;
        }
        if (place(now, request, effects))
        {
            continue;
        }
        if (request.wanted.idempotent)
        {
            return;
        }
        once_blocked = true;
    }
}

std::optional<path_index>
caller_core::choose_path(time_point now, const caller_request& request) const
{
    const std::optional<time_point> since = confirmed_since(now, request);
    std::optional<path_index> again;
    for (std::size_t step = 0; step < m_paths.count(); ++step)
    {
        const path_index path = m_paths.in_turn(step);
        if (!m_paths.at(path).usable(since))
        {
            continue;
        }
        if (request.attempts.empty() || request.attempts.back().path != path)
        {
            return path;
        }
        again = path;
    }
    return again;
}

void caller_core::begin_attempt(time_point now, caller_request& request,
                                path_index path, caller_effects& effects)
{
    m_paths.take_turn(path);
    caller_path& chosen = m_paths.at(path);
    caller_attempt attempt;
    attempt.path = path;
    attempt.under = *chosen.granted();
    attempt.sequence = chosen.take_sequence();
    attempt.first_sent = now;
    request.attempts.push_back(std::move(attempt));
    send_attempt(now, request, request.attempts.size() - 1, effects);
}

void caller_core::send_attempt(time_point now, caller_request& request,
                               std::size_t index, caller_effects& effects)
{
    caller_attempt& attempt = request.attempts[index];
    request.phase = request_phase::in_flight;
    request_part part;
    part.id = {m_caller, request.number};
    part.attempt = static_cast<std::uint32_t>(index + 1);
    part.under = attempt.under;
    part.sequence = attempt.sequence;
    part.settled_below = m_paths.at(attempt.path).settled_below();
    part.kind = request.wanted.kind;
    part.idempotent = request.wanted.idempotent;
    part.remaining = request.deadline - now;
    part.parts = part_count(request.wanted.body);
    for (part.part = 0; part.part < part.parts; ++part.part)
    {
        part.body = std::string(part_of(request.wanted.body, part.part));
        effects.datagrams.push_back(
            {attempt.path, encode(caller_message(part))});
    }
    wait_until(request, now + resend_time(attempt));
    ++attempt.sends;
}

void caller_core::send_cancel(const caller_request& request, std::size_t index,
                              caller_effects& effects)
{
    const caller_attempt& attempt = request.attempts[index];
    if (attempt.standing != attempt_standing::outstanding)
    {
        return;
    }
    const request_cancel cancel{{m_caller, request.number},
                                static_cast<std::uint32_t>(index + 1),
                                attempt.under,
                                attempt.sequence};
    effects.datagrams.push_back({attempt.path, encode(caller_message(cancel))});
}

void caller_core::wait_until(const caller_request& request, time_point due)
{
    m_request_wakeups.set(request.number, std::min(due, request.deadline));
}

void caller_core::finish_without_answer(caller_request& request,
                                        answer_reason reason,
                                        caller_effects& effects)
{
    finish(
        request,
        request_answer{
            verdict_without_answer(request), reason, request.retry_after, {}},
        effects);
}

void caller_core::finish(caller_request& request, request_answer answer,
                         caller_effects& effects)
{
    const auto attempts = static_cast<std::uint32_t>(request.attempts.size());
    const bool cancelled = request.phase == request_phase::cancelling;
    for (std::size_t index = 0; index < attempts; ++index)
    {
        if (!cancelled)
        {
            send_cancel(request, index, effects);
        }
        const caller_attempt& attempt = request.attempts[index];
        settle(attempt, effects);
    }
    const std::uint64_t number = request.number;
    effects.outcomes.push_back(
        {{m_caller, number}, std::move(answer), attempts});
    m_waiting.erase(number);
    m_request_wakeups.clear(number);
    m_requests.erase(number);
}

} // namespace crowlink::internal
