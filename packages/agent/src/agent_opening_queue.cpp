#include "crowlink/agent/agent.hpp"

#include <algorithm>
#include <limits>

// Opening packets that wait for room at the upstream; docs/design/overload.md.

namespace crowlink
{

using internal::held_opening;
using internal::hold_outcome;
using internal::opening_verdict;

namespace
{

std::uint32_t to_ms(duration time)
{
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(
        std::clamp<decltype(ms)>(ms, 0, std::numeric_limits<int>::max()));
}

refusal_reason reason_of(hold_outcome outcome)
{
    return outcome == hold_outcome::queue_full ? refusal_reason::queue_full
                                               : refusal_reason::too_late;
}

held_opening make_held(time_point now, const packet_header& header,
                       const packet_arrived& event, const route_terms& terms)
{
    held_opening made;
    made.header = header;
    made.payload.assign(event.payload.begin(), event.payload.end());
    made.sequence = event.sequence;
    made.priority = terms.priority;
    made.aim = terms.aim;
    made.deadline = internal::opening_deadline::of(now, terms, event.copy);
    made.since = now;
    return made;
}

packet_arrived event_of(const held_opening& opening)
{
    packet_arrived event{opening.header, opening.payload,
                         answer_need::required};
    event.sequence = opening.sequence;
    return event;
}

} // namespace

// The terms by which an opening packet is queued; null if it is treated as on a
// route without terms. Without an estimate of the service time the agent can't
// tell how long the work that is at the upstream will take.
const route_terms* agent::queue_terms(time_point now,
                                      const packet_header& header) const
{
    const service_view* view = m_members.view();
    if (header.role != packet_role::opens || !m_admission.limits_work() ||
        view == nullptr)
    {
        return nullptr;
    }
    const auto& shares = view->declared.shares;
    const auto share =
        std::find_if(shares.begin(), shares.end(),
                     [&header](const address_share& each)
                     { return each.address == header.flow.service; });
    if (share == shares.end() || !share->terms)
    {
        return nullptr;
    }
    const bool is_unknown =
        !m_admission.service_time(now) && !m_admission.has_work_room(now);
    return is_unknown ? nullptr : &*share->terms;
}

opening_verdict agent::judge_opening(time_point now,
                                     const packet_header& header,
                                     const packet_arrived& event,
                                     const route_terms& terms)
{
    const bool has_window =
        m_openings.empty() && m_admission.has_window(now, m_flows.open_count());
    if (has_window && m_admission.has_free_slot(now))
    {
        return opening_verdict{true};
    }
    const held_opening asked = make_held(now, header, event, terms);
    const internal::planned_opening planned =
        m_openings.plan_for(now, m_admission.completion(now), asked);
    return opening_verdict{has_window && internal::is_held(planned.outcome),
                           planned.outcome, planned.expected};
}

// Takes part in the comparison of candidates if the request can be in time
// here.
void agent::evaluate_opening(time_point now, packet_header header,
                             const packet_arrived& event,
                             const route_terms& terms)
{
    const std::size_t flows = m_flows.open_count();
    if (takes_openings(now))
    {
        const opening_verdict verdict =
            judge_opening(now, header, event, terms);
        const bool is_first = header.best == packet_header::no_position;
        const bool accepts_first_fit =
            m_admission.sharing().goal == service_goal::continuity;
        const bool at_once =
            verdict.starts && (m_admission.wants_trial(now) ||
                               (m_admission.admits_at_once(now, flows) &&
                                (is_first || accepts_first_fit)));
        if (at_once)
        {
            accept_flow(now, header, event, flow_action::admitted, "low_load");
            return;
        }
        const std::uint32_t own = m_admission.load(flows);
        const bool takes_part =
            verdict.can_be_in_time() &&
            (verdict.starts || !m_admission.is_shedding(now));
        if (takes_part && (is_first || own < header.best_load))
        {
            header.best = header.position;
            header.best_load = own;
        }
    }
    ask_next_candidate(now, header, event);
}

// Accepts, holds or refuses an opening packet that no other candidate gets.
void agent::settle_opening(time_point now, const packet_header& header,
                           const packet_arrived& event,
                           const route_terms& terms, std::string_view reason)
{
    const opening_verdict verdict = judge_opening(now, header, event, terms);
    const bool takes = takes_openings(now);
    if (takes && verdict.starts)
    {
        accept_flow(now, header, event, flow_action::admitted, reason);
        return;
    }
    if (!takes || m_admission.is_shedding(now))
    {
        refuse(now, header, event);
        return;
    }
    held_opening opening = make_held(now, header, event, terms);
    if (!internal::is_held(verdict.outcome))
    {
        refuse_opening(opening, event.payload,
                       internal::planned_opening{&opening, verdict.outcome,
                                                 verdict.expected},
                       now);
        return;
    }
    const bool is_in_time = verdict.outcome == hold_outcome::in_time;
    ++m_opening_counts[terms.priority].held;
    const time_point limit =
        is_in_time ? opening.deadline.aim : opening.deadline.last;
    m_openings.add(std::move(opening));
    held_changed();
    decide_opening(flow_action::held, header, is_in_time ? "in_time" : "late",
                   verdict.expected, limit - now);
    advance_openings(now);
}

// Whether new flows are taken, at once or later.
bool agent::takes_openings(time_point now) const
{
    return m_admission.takes_new_flows(now) &&
           m_flows.open_count() < m_admission.limits().connections;
}

// Whether a flow can be opened now without waiting.
bool agent::can_open(time_point now, const packet_header& header)
{
    const std::size_t flows = m_flows.open_count();
    if (queue_terms(now, header) == nullptr)
    {
        return m_admission.can_admit(now, flows);
    }
    return m_openings.empty() && m_admission.takes_new_flows(now) &&
           m_admission.has_window(now, flows);
}

void agent::refuse_opening(const held_opening& opening, payload_view payload,
                           const internal::planned_opening& planned,
                           time_point now)
{
    const refusal_reason reason = reason_of(planned.outcome);
    opening_counts& counts = m_opening_counts[opening.priority];
    ++(reason == refusal_reason::queue_full ? counts.refused_queue_full
                                            : counts.refused_too_late);
    ++m_counts.refused;
    const packet_header& header = opening.header;
    m_redirects.erase(header.flow);
    const flow_refusal told{verdict::not_run, reason, m_settings.retry_after};
    m_effects.add(
        internal::refuse_effect{header.return_to, header.flow, payload, told});
    decide_opening(flow_action::refused, header, to_string(reason),
                   planned.expected, opening.deadline.last - now);
}

// Starts held packets while the upstream has room, and refuses those that can't
// be served in time any more.
void agent::advance_openings(time_point now)
{
    if (m_openings.empty())
    {
        return;
    }
    if (!m_admission.takes_new_flows(now))
    {
        pass_on_openings(now);
        return;
    }
    const internal::hold_plan plan =
        m_openings.plan(now, m_admission.completion(now));
    // The refusals leave the plan of the others valid.
    for (const internal::planned_opening& each : plan)
    {
        if (!internal::is_held(each.outcome))
        {
            const held_opening& opening =
                release(now, *m_openings.remove(each.opening->header.flow));
            refuse_opening(opening, opening.payload, each, now);
            continue;
        }
        if (m_admission.has_window(now, m_flows.open_count()))
        {
            start_held(now, each.opening->header.flow);
        }
    }
    held_changed();
}

void agent::start_held(time_point now, const flow_key& flow)
{
    const held_opening& opening = release(now, m_openings.start(flow));
    ++m_opening_counts[opening.priority].started;
    accept_flow(now, opening.header, event_of(opening), flow_action::admitted,
                "held");
}

const held_opening& agent::release(time_point now, held_opening opening)
{
    m_held_times.add(now - opening.since);
    m_released.push_back(std::move(opening));
    return m_released.back();
}

// The upstream takes no new flow: the next candidates get what is held.
void agent::pass_on_openings(time_point now)
{
    std::vector<held_opening> all = m_openings.take_all();
    held_changed();
    for (held_opening& each : all)
    {
        const held_opening& opening = release(now, std::move(each));
        ++m_opening_counts[opening.priority].passed_on;
        const packet_header header = opening.header;
        const auto to =
            place_elsewhere(now, header, event_of(opening), "held_by_leaving");
        if (to)
        {
            // Copies follow, so that the flow gets one owner.
            record_hint(now, header, *to, internal::redirect_kind::chosen);
        }
    }
}

// Handles a packet of a flow whose opening packet is held. Returns whether the
// packet needs nothing else.
bool agent::take_for_held(const packet_arrived& event)
{
    held_opening* held = m_openings.find(event.header.flow);
    if (held == nullptr)
    {
        return false;
    }
    const bool is_copy = event.header.role == packet_role::opens &&
                         event.sequence == held->sequence;
    if (is_copy)
    {
        held->payload.assign(event.payload.begin(), event.payload.end());
        held->header.return_to = event.header.return_to;
        return true;
    }
    // The caller has given up or opens another flow, or the flow is open at
    // another agent.
    drop_held(event.header.flow, event.header.role == packet_role::resets
                                     ? "caller_reset"
                                     : "superseded");
    return false;
}

void agent::drop_held(const flow_key& flow, std::string_view reason)
{
    const auto dropped = m_openings.remove(flow);
    if (dropped)
    {
        held_changed();
        decide(flow_action::dropped, flow, dropped->header.table, candidate(),
               reason);
    }
}

void agent::held_changed()
{
    m_admission.set_held(m_openings.size());
}

void agent::decide_opening(flow_action action, const packet_header& header,
                           std::string_view reason, duration expected,
                           duration limit)
{
    flow_decision decision{action,
                           m_record.service,
                           header.flow,
                           header.table,
                           action == flow_action::held ? m_self : candidate(),
                           load(),
                           reason};
    decision.expected_ms = to_ms(expected);
    decision.limit_ms = to_ms(limit);
    decision.held = static_cast<std::uint32_t>(m_openings.size());
    m_effects.add(decision);
}

const packet_header* agent::released_header(const flow_key& flow) const
{
    const auto found = std::find_if(m_released.begin(), m_released.end(),
                                    [&flow](const held_opening& each)
                                    { return each.header.flow == flow; });
    return found == m_released.end() ? nullptr : &found->header;
}

} // namespace crowlink
