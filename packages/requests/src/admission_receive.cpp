// The part of admission_core that takes callers' messages.

#include "admission_core.hpp"

#include <algorithm>
#include <variant>

namespace crowlink::internal
{

namespace
{

// Charged to the limit on body bytes for each job, so that many small
// requests are bounded too.
constexpr std::size_t job_overhead = 512;

} // namespace

void admission_core::handle_datagram(time_point now, const flow_key& flow,
                                     std::string_view datagram,
                                     admission_effects& effects)
{
    const auto message = decode_caller_message(datagram);
    if (!message)
    {
        ++m_counts.invalid;
        return;
    }
    const arrival on{now, flow, effects};
    std::visit([this, &on](const auto& taken) { take(on, taken); }, *message);
}

void admission_core::take(const arrival& on, const open_session& message)
{
    session_opened opened;
    opened.secret = message.secret;
    opened.draining = m_draining;
    if (!m_draining)
    {
        opened.granted = m_memory.open(on.now, message.secret);
    }
    if (!opened.granted && !m_draining)
    {
        opened.retry_after = m_settings.memory.keep;
    }
    m_counts.sessions = m_memory.sessions();
    on.effects.to_callers.push_back({on.flow, encode(agent_message(opened))});
}

void admission_core::take(const arrival& on, const request_part& message)
{
    const sighting seen = m_memory.sight(
        on.now, message.under, message.sequence, message.settled_below);
    switch (seen.kind)
    {
    case sighting_kind::fresh:
        begin(on, message, *seen.request);
        return;
    case sighting_kind::known:
        break;
    case sighting_kind::stale:
        refuse_stale(on, message.id, message.attempt);
        return;
    case sighting_kind::settled:
    case sighting_kind::beyond_window:
        ++m_counts.duplicates;
        return;
    }
    if (seen.request->id != message.id)
    {
        // One request must never get the answer to another.
        ++m_counts.invalid;
        return;
    }
    if (seen.request->answer == nullptr)
    {
        add_part(on, message, m_jobs.at(seen.request->job));
        return;
    }
    ++m_counts.duplicates;
    // One answer for a resend of several parts.
    if (message.part == 0)
    {
        repeat_answer(on, message.id, message.attempt, *seen.request->answer);
    }
}

void admission_core::take(const arrival& on, const request_cancel& message)
{
    const sighting seen =
        m_memory.sight(on.now, message.under, message.sequence, 0);
    if (seen.kind == sighting_kind::stale)
    {
        refuse_stale(on, message.id, message.attempt);
        return;
    }
    if (seen.request == nullptr)
    {
        ++m_counts.duplicates;
        return;
    }
    if (seen.kind == sighting_kind::known && seen.request->id != message.id)
    {
        ++m_counts.invalid;
        return;
    }
    if (seen.kind == sighting_kind::fresh)
    {
        seen.request->id = message.id;
        // Remembered, so that the request itself does not run if it is late.
        const request_answer* answer = m_memory.finish(
            message.under.session, message.sequence,
            request_answer{verdict::not_run, answer_reason::cancelled, {}, {}});
        repeat_answer(on, message.id, message.attempt, *answer);
        return;
    }
    if (seen.request->answer != nullptr)
    {
        repeat_answer(on, message.id, message.attempt, *seen.request->answer);
        return;
    }
    job& pending = m_jobs.at(seen.request->job);
    pending.flow = on.flow;
    if (pending.state == job_state::running)
    {
        stop(pending, on.effects);
        return;
    }
    refuse(pending, answer_reason::cancelled, on.effects);
}

void admission_core::begin(const arrival& on, const request_part& message,
                           remembered_request& remembered)
{
    job fresh;
    fresh.number = ++m_last_job;
    fresh.session = message.under.session;
    fresh.sequence = message.sequence;
    fresh.id = message.id;
    fresh.attempt = message.attempt;
    fresh.flow = on.flow;
    fresh.deadline = on.now + message.remaining;
    fresh.charged = job_overhead;
    m_body_bytes += fresh.charged;
    remembered.job = fresh.number;
    remembered.id = message.id;
    job& kept = m_jobs.emplace(fresh.number, std::move(fresh)).first->second;
    if (m_draining)
    {
        refuse(kept, answer_reason::draining, on.effects);
        return;
    }
    const std::optional<kind_index> kind = kind_named(message.kind);
    if (!kind || (message.idempotent && !m_settings.kinds[*kind].idempotent))
    {
        refuse(kept, answer_reason::wrong_kind, on.effects);
        return;
    }
    kept.kind = *kind;
    kept.weight = m_settings.kinds[*kind].weight;
    m_wakeups.set(kept.number, kept.deadline);
    add_part(on, message, kept);
}

void admission_core::add_part(const arrival& on, const request_part& message,
                              job& to)
{
    to.flow = on.flow;
    if (to.state != job_state::receiving)
    {
        ++m_counts.duplicates;
        return;
    }
    const std::size_t added =
        to.assembly.add(message.part, message.parts, message.body);
    to.charged += added;
    m_body_bytes += added;
    if (m_body_bytes > m_settings.body_bytes_limit)
    {
        refuse(to, answer_reason::overloaded, on.effects);
        return;
    }
    if (to.assembly.whole())
    {
        to.body = to.assembly.take();
        admit(on.now, to, on.effects);
    }
}

void admission_core::repeat_answer(const arrival& on, request_id id,
                                   std::uint32_t attempt,
                                   const request_answer& answer)
{
    send(on.flow, id, attempt, answer, on.effects);
}

void admission_core::refuse_stale(const arrival& on, request_id id,
                                  std::uint32_t attempt)
{
    send(on.flow, id, attempt,
         request_answer{
             verdict::may_have_run, answer_reason::stale_ticket, {}, {}},
         on.effects);
}

void admission_core::send(const flow_key& flow, request_id id,
                          std::uint32_t attempt, const request_answer& answer,
                          admission_effects& effects)
{
    answer_part part;
    part.id = id;
    part.attempt = attempt;
    part.outcome = answer.outcome;
    part.reason = answer.reason;
    part.retry_after = answer.retry_after;
    part.parts = part_count(answer.body);
    for (part.part = 0; part.part < part.parts; ++part.part)
    {
        part.body = std::string(part_of(answer.body, part.part));
        effects.to_callers.push_back({flow, encode(agent_message(part))});
    }
}

} // namespace crowlink::internal
