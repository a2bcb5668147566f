// The part of caller_core that sends requests and ends them.

#include "caller_core.hpp"
#include "crowlink/requests/message_codec.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// Sends of one attempt of an idempotent request before it tries another path.
constexpr std::uint32_t max_idempotent_sends = 2;
// Limit on the doublings of the resend timeout of an attempt.
constexpr std::uint32_t max_doublings = 6;

} // namespace

caller_core::caller_core(const caller_settings& settings, seeded_random random)
    : m_settings(settings)
    , m_random(random)
    , m_caller(m_random())
    , m_budget(settings.retry_ratio, settings.retry_burst)
    , m_paths(settings.paths)
{
}

request_id caller_core::submit(time_point now, outgoing_request outgoing,
                               caller_effects& effects)
{
    const std::uint64_t number = ++m_last_number;
    const bool full = m_requests.size() >= m_settings.outstanding_limit;
    caller_request& request = m_requests[number];
    request.number = number;
    request.deadline = now + outgoing.deadline;
    request.outgoing = std::move(outgoing);
    m_budget.deposit();
    if (full)
    {
        request.retry_after = m_settings.backoff;
        finish_without_answer(request, answer_reason::overloaded, effects);
    }
    else if (const auto reason = refusal_reason(request.outgoing))
    {
        finish_without_answer(request, *reason, effects);
    }
    else if (assign_path(now, request, effects))
    {
        // Opens the other paths in advance, since load is spread over all
        // paths.
        open_path_for(now, request, effects);
    }
    else
    {
        refuse_waiting(now, effects);
    }
    return {m_caller, number};
}

std::optional<answer_reason>
caller_core::refusal_reason(const outgoing_request& outgoing) const
{
    if (outgoing.body.size() > body_limit ||
        outgoing.kind.size() > kind_name_limit)
    {
        return answer_reason::too_large;
    }
    if (outgoing.deadline <= duration::zero())
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
    schedule_wakeup(request, now + m_settings.cancel_timeout);
}

void caller_core::advance(time_point now, caller_effects& effects)
{
    while (const auto due = m_path_timers.pop_due(now))
    {
        on_path_timeout(now, static_cast<path_index>(*due), effects);
    }
    while (const auto due = m_request_timers.pop_due(now))
    {
        on_timeout(now, m_requests.at(*due), effects);
    }
    assign_waiting(now, effects);
}

time_point caller_core::next_wakeup() const
{
    return std::min(m_request_timers.next_due(), m_path_timers.next_due());
}

void caller_core::on_timeout(time_point now, caller_request& request,
                             caller_effects& effects)
{
    if (request.phase == request_phase::cancelling)
    {
        finish_without_answer(request, answer_reason::cancelled, effects);
        return;
    }
    if (now >= request.deadline)
    {
        const bool sent = !request.attempts.empty();
        finish_without_answer(
            request, sent ? answer_reason::expired : answer_reason::unreachable,
            effects);
        return;
    }
    if (request.phase == request_phase::backing_off)
    {
        assign_path(now, request, effects);
        return;
    }
    resend(now, request, effects);
}

// Called when the resend timeout of the latest outstanding attempt has expired.
void caller_core::resend(time_point now, caller_request& request,
                         caller_effects& effects)
{
    const std::size_t index = last_outstanding(request);
    const caller_attempt& attempt = request.attempts[index];
    m_paths.at(attempt.path).require_confirmation(attempt.first_sent);
    const bool use_other_path =
        request.outgoing.idempotent && attempt.sends >= max_idempotent_sends &&
        request.attempts.size() < m_settings.attempt_limit;
    if (use_other_path)
    {
        const auto path = choose_path(now, request);
        if (path && *path != attempt.path && m_budget.withdraw())
        {
            begin_attempt(now, request, *path, effects);
            return;
        }
        open_path_for(now, request, effects);
    }
    if (attempt.sends >= m_settings.send_limit)
    {
        schedule_wakeup(request, request.deadline);
        return;
    }
    if (!m_budget.withdraw())
    {
        schedule_wakeup(request, now + resend_timeout(attempt));
        return;
    }
    send_attempt(now, request, index, effects);
}

duration caller_core::resend_timeout(const caller_attempt& attempt) const
{
    const std::uint32_t doublings = std::min(attempt.sends, max_doublings);
    const duration first =
        std::max(m_settings.resend_after, m_response_time.timeout());
    return first * (1U << doublings);
}

bool caller_core::assign_path(time_point now, caller_request& request,
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
    schedule_wakeup(request, request.deadline);
    open_path_for(now, request, effects);
    return false;
}

std::optional<time_point>
caller_core::confirmed_since(time_point now,
                             const caller_request& request) const
{
    if (request.outgoing.idempotent)
    {
        return std::nullopt;
    }
    return now - m_settings.ticket_validity;
}

void caller_core::assign_waiting(time_point now, caller_effects& effects)
{
    bool non_idempotent_blocked = false;
    for (auto next = m_waiting.begin(); next != m_waiting.end();)
    {
        caller_request& request = m_requests.at(*next);
        ++next;
        if (non_idempotent_blocked && !request.outgoing.idempotent)
        {
            continue;
        }
        if (assign_path(now, request, effects))
        {
            continue;
        }
        if (request.outgoing.idempotent)
        {
            return;
        }
        non_idempotent_blocked = true;
    }
}

std::optional<path_index>
caller_core::choose_path(time_point now, const caller_request& request) const
{
    const std::optional<time_point> since = confirmed_since(now, request);
    std::optional<path_index> fallback;
    for (std::size_t step = 0; step < m_paths.count(); ++step)
    {
        const path_index path = m_paths.at_turn(step);
        if (!m_paths.at(path).usable(since))
        {
            continue;
        }
        if (request.attempts.empty() || request.attempts.back().path != path)
        {
            return path;
        }
        fallback = path;
    }
    return fallback;
}

void caller_core::begin_attempt(time_point now, caller_request& request,
                                path_index path, caller_effects& effects)
{
    m_paths.advance_turn(path);
    caller_path& chosen = m_paths.at(path);
    caller_attempt attempt;
    attempt.path = path;
    attempt.session_ticket = *chosen.granted();
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
    part.session_ticket = attempt.session_ticket;
    part.sequence = attempt.sequence;
    part.settled_below = m_paths.at(attempt.path).settled_below();
    part.kind = request.outgoing.kind;
    part.idempotent = request.outgoing.idempotent;
    part.remaining = request.deadline - now;
    part.parts = part_count(request.outgoing.body);
    for (part.part = 0; part.part < part.parts; ++part.part)
    {
        part.body = std::string(body_slice(request.outgoing.body, part.part));
        effects.datagrams.push_back(
            {attempt.path, encode(caller_message(part))});
    }
    schedule_wakeup(request, now + resend_timeout(attempt));
    ++attempt.sends;
}

void caller_core::send_cancel(const caller_request& request, std::size_t index,
                              caller_effects& effects)
{
    const caller_attempt& attempt = request.attempts[index];
    if (attempt.state != attempt_state::outstanding)
    {
        return;
    }
    const request_cancel cancel{{m_caller, request.number},
                                static_cast<std::uint32_t>(index + 1),
                                attempt.session_ticket,
                                attempt.sequence};
    effects.datagrams.push_back({attempt.path, encode(caller_message(cancel))});
}

void caller_core::schedule_wakeup(const caller_request& request, time_point due)
{
    m_request_timers.set(request.number, std::min(due, request.deadline));
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
        settle_attempt(attempt, effects);
    }
    const std::uint64_t number = request.number;
    effects.outcomes.push_back(
        {{m_caller, number}, std::move(answer), attempts});
    m_waiting.erase(number);
    m_request_timers.clear(number);
    m_requests.erase(number);
}

} // namespace crowlink::internal
