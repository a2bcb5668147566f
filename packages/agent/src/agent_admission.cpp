#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

namespace crowlink
{

using internal::redirect_kind;

void agent::start_admission(time_point now, packet_header header,
                            const packet_arrived& event, silent_query asked)
{
    if (asked == silent_query::due && query_silent_members(now, header, event))
    {
        return;
    }
    header.pass = packet_pass::admit;
    header.best = packet_header::no_position;
    const std::size_t first = next_usable(header, 0);
    if (first == header.current.size())
    {
        refuse(now, header, event);
        return;
    }
    header.position = static_cast<std::uint8_t>(first);
    const candidate head = header.current[first];
    if (head == m_self)
    {
        evaluate_admission(now, header, event);
        return;
    }
    record_hint(now, header, head, redirect_kind::ended);
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "no_owner");
}

void agent::evaluate_admission(time_point now, packet_header header,
                               const packet_arrived& event)
{
    const route_terms* terms = queue_terms(now, header);
    if (terms != nullptr)
    {
        evaluate_opening(now, header, event, *terms);
        return;
    }
    const std::size_t flows = m_flows.open_count();
    if (m_admission.can_admit(now, flows))
    {
        const bool is_first = header.best == packet_header::no_position;
        const bool accepts_first_fit =
            m_admission.sharing().goal == service_goal::continuity;
        const bool at_once = m_admission.admits_at_once(now, flows);
        if (m_admission.wants_trial(now) ||
            (at_once && (is_first || accepts_first_fit)))
        {
            accept_flow(now, header, event, flow_action::admitted, "low_load");
            return;
        }
        const std::uint32_t own = m_admission.load(flows);
        if (is_first || own < header.best_load)
        {
            header.best = header.position;
            header.best_load = own;
        }
    }
    ask_next_candidate(now, header, event);
}

void agent::ask_next_candidate(time_point now, packet_header header,
                               const packet_arrived& event)
{
    const std::size_t next = next_usable(header, header.position + 1U);
    if (next >= header.current.size())
    {
        choose(now, header, event);
        return;
    }
    header.position = static_cast<std::uint8_t>(next);
    record_hint(now, header, header.current[next], redirect_kind::asked);
    ++m_counts.handed_off;
    forward(header, event, flow_action::handed_off, "compare_load");
}

void agent::choose(time_point now, packet_header header,
                   const packet_arrived& event)
{
    const route_terms* terms = queue_terms(now, header);
    if (header.best == packet_header::no_position)
    {
        terms == nullptr
            ? refuse(now, header, event)
            : settle_opening(now, header, event, *terms, "no_candidate");
        return;
    }
    const candidate chosen = *internal::candidate_at(header, header.best);
    if (chosen == m_self && terms != nullptr)
    {
        settle_opening(now, header, event, *terms, "least_load");
        return;
    }
    if (chosen == m_self)
    {
        accept_flow(now, header, event, flow_action::admitted, "least_load");
        return;
    }
    header.position = header.best;
    header.pass = packet_pass::place;
    record_hint(now, header, chosen, redirect_kind::chosen);
    ++m_counts.handed_off;
    forward(header, event, flow_action::handed_off, "least_load");
}

void agent::place(time_point now, const packet_header& header,
                  const packet_arrived& event)
{
    if (may_adopt(now, header, false))
    {
        accept_flow(now, header, event, flow_action::adopted,
                    "upstream_lived_on");
        return;
    }
    if (header.role == packet_role::continues)
    {
        start_search(now, header, event);
        return;
    }
    const route_terms* terms = queue_terms(now, header);
    if (terms != nullptr)
    {
        settle_opening(now, header, event, *terms, "least_load");
        return;
    }
    if (!m_admission.can_admit(now, m_flows.open_count()))
    {
        refuse(now, header, event);
        return;
    }
    accept_flow(now, header, event, flow_action::admitted, "least_load");
}

// Tries the other candidates once each, in order after the one that returned
// the packet first; `best` holds that one's position. Returns the candidate
// that gets the packet; empty if it was refused.
std::optional<candidate> agent::place_elsewhere(time_point now,
                                                packet_header header,
                                                const packet_arrived& event,
                                                std::string_view reason)
{
    const std::size_t count = header.current.size();
    const std::size_t own = internal::position_of(header, m_self);
    const bool is_first = header.pass != packet_pass::place ||
                          header.best == packet_header::no_position;
    if (own >= count)
    {
        refuse(now, header, event);
        return std::nullopt;
    }
    if (is_first || header.best == header.position)
    {
        header.best = static_cast<std::uint8_t>(own);
    }
    std::size_t next = (own + 1) % count;
    while (next != header.best &&
           m_members.is_unavailable(header.current[next].tag))
    {
        next = (next + 1) % count;
    }
    if (next == header.best || next == own)
    {
        refuse(now, header, event);
        return std::nullopt;
    }
    header.pass = packet_pass::place;
    header.position = static_cast<std::uint8_t>(next);
    ++m_counts.handed_off;
    forward(header, event, flow_action::handed_off, reason);
    return header.current[next];
}

void agent::refuse(time_point now, const packet_header& header,
                   const packet_arrived& event)
{
    const refusal_reason reason = m_admission.is_draining()
                                      ? refusal_reason::leaving
                                      : refusal_reason::full;
    // Work ends within milliseconds, so that a retransmission may be admitted;
    // a refusal would only make the caller return with a new flow.
    if (event.will_retransmit && queue_terms(now, header) == nullptr &&
        m_admission.has_room_soon(now))
    {
        ++m_counts.deferred;
        m_redirects.erase(header.flow);
        decide(flow_action::deferred, header.flow, header.table, candidate(),
               m_admission.is_full_of_work() ? "full_of_work" : "cold");
        return;
    }
    const flow_refusal told{verdict::not_run, reason, m_settings.retry_after};
    ++m_counts.refused;
    m_effects.add(internal::refuse_effect{header.return_to, header.flow,
                                          event.payload, told});
    decide(flow_action::refused, header.flow, header.table, candidate(),
           to_string(reason));
}

void agent::accept_flow(time_point now, const packet_header& header,
                        const packet_arrived& event, flow_action how,
                        std::string_view reason)
{
    m_redirects.erase(header.flow);
    internal::flow_entry& entry = m_flows.open(header.flow, now);
    entry.return_to = header.return_to;
    entry.checked = m_check;
    const bool adopted = how == flow_action::adopted;
    ++(adopted ? m_counts.adopted : m_counts.admitted);
    if (event.header.role != packet_role::continues)
    {
        m_admission.admitted(now);
    }
    if (header.role == packet_role::opens)
    {
        m_admission.opened(now);
    }
    note_caller_packet(now, entry, event.need);
    m_effects.add(internal::deliver_effect{header.flow, event.payload});
    decide(how, header.flow, header.table, m_self, reason);
    publish_opened(now, entry, header);
}

bool agent::may_adopt(time_point now, const packet_header& header,
                      bool was_redirected) const
{
    const packet_role role = header.role;
    if (m_returned.holds(header.flow))
    {
        return false;
    }
    const bool may_be_old =
        role == packet_role::any || role == packet_role::continues;
    const bool has_room = m_flows.open_count() <
                          2 * std::size_t{m_admission.limits().connections};
    // Only a segment or a redirect proves that a flow is an old one.
    const bool is_certainly_old =
        role == packet_role::continues || was_redirected;
    const time_point until =
        is_certainly_old ? m_adopt_old_until : m_adopt_until;
    if (now >= until || !may_be_old || !has_room)
    {
        return false;
    }
    // A datagram does not show whether it opens a flow unless a redirect says
    // so, and an upstream that leaves must not get new flows.
    return is_certainly_old || !m_admission.is_draining();
}

} // namespace crowlink
