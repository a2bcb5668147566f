// The part of admission_core that handles messages of callers.

#include "admission_core.hpp"

#include <algorithm>
#include <variant>

namespace crowlink::internal
{

namespace
{

// Bytes counted towards the limit on body bytes for each job, so that the
// number of small requests is bounded too.
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
    const message_context context{now, flow, effects};
    std::visit([this, &context](const auto& decoded)
               { handle(context, decoded); },
               *message);
}

void admission_core::handle(const message_context& context,
                            const open_session& message)
{
    session_opened opened;
    opened.secret = message.secret;
    opened.draining = m_draining;
    if (!m_draining)
    {
        opened.granted = m_memory.open(context.now, message.secret);
    }
    if (!opened.granted && !m_draining)
    {
        opened.retry_after = m_settings.memory.session_idle_timeout;
    }
    m_counts.sessions = m_memory.sessions();
    context.effects.to_callers.push_back(
        {context.flow, encode(agent_message(opened))});
}

void admission_core::handle(const message_context& context,
                            const request_part& message)
{
    const sequence_lookup lookup =
        m_memory.look_up(context.now, message.session_ticket, message.sequence,
                         message.settled_below);
    switch (lookup.kind)
    {
    case sequence_status::fresh:
        create_job(context, message, *lookup.request);
        return;
    case sequence_status::known:
        break;
    case sequence_status::stale:
        refuse_stale(context, message.id, message.attempt);
        return;
    case sequence_status::settled:
    case sequence_status::beyond_window:
        ++m_counts.duplicates;
        return;
    }
    if (lookup.request->id != message.id)
    {
        // A request must never get the answer to another request.
        ++m_counts.invalid;
        return;
    }
    if (lookup.request->answer == nullptr)
    {
        add_part(context, message, m_jobs.at(lookup.request->job));
        return;
    }
    ++m_counts.duplicates;
    // Only the first part triggers the answer, so that a resend of several
    // parts gets a single answer.
    if (message.part == 0)
    {
        resend_answer(context, message.id, message.attempt,
                      *lookup.request->answer);
    }
}

void admission_core::handle(const message_context& context,
                            const request_cancel& message)
{
    const sequence_lookup lookup = m_memory.look_up(
        context.now, message.session_ticket, message.sequence, 0);
    if (lookup.kind == sequence_status::stale)
    {
        refuse_stale(context, message.id, message.attempt);
        return;
    }
    if (lookup.request == nullptr)
    {
        ++m_counts.duplicates;
        return;
    }
    if (lookup.kind == sequence_status::known &&
        lookup.request->id != message.id)
    {
        ++m_counts.invalid;
        return;
    }
    if (lookup.kind == sequence_status::fresh)
    {
        lookup.request->id = message.id;
        // Stored so that the request does not run if it arrives later.
        const request_answer* answer = m_memory.finish(
            message.session_ticket.session, message.sequence,
            request_answer{verdict::not_run, answer_reason::cancelled, {}, {}});
        resend_answer(context, message.id, message.attempt, *answer);
        return;
    }
    if (lookup.request->answer != nullptr)
    {
        resend_answer(context, message.id, message.attempt,
                      *lookup.request->answer);
        return;
    }
    job& pending = m_jobs.at(lookup.request->job);
    pending.flow = context.flow;
    if (pending.state == job_state::running)
    {
        cancel_run(pending, context.effects);
        return;
    }
    refuse(pending, answer_reason::cancelled, context.effects);
}

void admission_core::create_job(const message_context& context,
                                const request_part& message,
                                remembered_request& remembered)
{
    job fresh;
    fresh.number = ++m_last_job;
    fresh.session = message.session_ticket.session;
    fresh.sequence = message.sequence;
    fresh.id = message.id;
    fresh.attempt = message.attempt;
    fresh.flow = context.flow;
    fresh.deadline = context.now + message.remaining;
    fresh.charged_bytes = job_overhead;
    m_body_bytes += fresh.charged_bytes;
    remembered.job = fresh.number;
    remembered.id = message.id;
    job& kept = m_jobs.emplace(fresh.number, std::move(fresh)).first->second;
    if (m_draining)
    {
        refuse(kept, answer_reason::draining, context.effects);
        return;
    }
    const std::optional<kind_index> kind = find_kind(message.kind);
    if (!kind || (message.idempotent && !m_settings.kinds[*kind].idempotent))
    {
        refuse(kept, answer_reason::wrong_kind, context.effects);
        return;
    }
    kept.kind = *kind;
    kept.weight = m_settings.kinds[*kind].weight;
    m_timers.set(kept.number, kept.deadline);
    add_part(context, message, kept);
}

void admission_core::add_part(const message_context& context,
                              const request_part& message, job& target)
{
    target.flow = context.flow;
    if (target.state != job_state::receiving)
    {
        ++m_counts.duplicates;
        return;
    }
    const std::size_t added =
        target.assembly.add(message.part, message.parts, message.body);
    target.charged_bytes += added;
    m_body_bytes += added;
    if (m_body_bytes > m_settings.body_bytes_limit)
    {
        refuse(target, answer_reason::overloaded, context.effects);
        return;
    }
    if (target.assembly.is_complete())
    {
        target.body = target.assembly.take();
        admit(context.now, target, context.effects);
    }
}

void admission_core::resend_answer(const message_context& context,
                                   request_id id, std::uint32_t attempt,
                                   const request_answer& answer)
{
    send(context.flow, id, attempt, answer, context.effects);
}

void admission_core::refuse_stale(const message_context& context, request_id id,
                                  std::uint32_t attempt)
{
    send(context.flow, id, attempt,
         request_answer{
             verdict::may_have_run, answer_reason::stale_ticket, {}, {}},
         context.effects);
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
        part.body = std::string(body_slice(answer.body, part.part));
        effects.to_callers.push_back({flow, encode(agent_message(part))});
    }
}

} // namespace crowlink::internal
