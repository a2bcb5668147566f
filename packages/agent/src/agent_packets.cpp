#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>

namespace crowlink
{

using internal::redirect_kind;

namespace
{

// More agents than a packet meets in a walk over two chains, an admission over
// one, and a few detours.
constexpr std::uint8_t hop_limit = 32;

bool may_open(packet_role role)
{
    return role == packet_role::any || role == packet_role::opens;
}

// The marks of a trail end one after another. Who starts to follow it needs
// time to reach the last one, where the flow's owner is known.
duration margin_of(packet_pass pass)
{
    switch (pass)
    {
    case packet_pass::lookup:
        return std::chrono::seconds(1);
    case packet_pass::walk:
        return std::chrono::milliseconds(500);
    default:
        return duration::zero();
    }
}

} // namespace

agent::route agent::route_of(time_point now, const packet_arrived& event)
{
    if (!is_for_this(event))
    {
        return route::elsewhere;
    }
    internal::flow_entry* entry = m_flows.find(event.header.flow);
    if (entry == nullptr)
    {
        find_or_place(now, event);
        send_batch();
        return route::elsewhere;
    }
    deliver_known(now, *entry, event);
    if (event.header.role == packet_role::resets)
    {
        end_by_caller(now, *entry, event);
        return route::elsewhere;
    }
    return route::deliver;
}

bool agent::is_for_this(const packet_arrived& event)
{
    const packet_header& header = event.header;
    if (header.service != m_record.service)
    {
        ++m_counts.wrong_service;
        decide(flow_action::dropped, header.flow, header.table, candidate(),
               "wrong_service");
        return false;
    }
    const candidate* addressed =
        internal::candidate_at(header, header.position);
    if (addressed == nullptr || addressed->tag != m_tag)
    {
        ++m_counts.wrong_tag;
        decide(flow_action::dropped, header.flow, header.table, candidate(),
               "wrong_tag");
        return false;
    }
    return true;
}

void agent::deliver_known(time_point now, internal::flow_entry& entry,
                          const packet_arrived& event)
{
    ++m_counts.delivered;
    const bool unchecked = entry.checked != m_check;
    if (unchecked && m_redirects_left > 0)
    {
        check_redirects(now, entry, false);
        send_batch();
    }
    // The walk over flows that have not been checked must still meet this one.
    if (entry.checked == m_check)
    {
        m_flows.touch(entry, now);
    }
    if (entry.return_to != event.header.return_to)
    {
        entry.return_to = event.header.return_to;
        entry.return_checked = 0;
    }
    if (event.header.hops > 0)
    {
        tell_head(now, entry, event.header);
    }
    note_caller_packet(now, entry, event.need);
    if (event.finishes && !entry.caller_finished)
    {
        entry.caller_finished = true;
        note_finished(now, entry);
    }
}

void agent::end_by_caller(time_point now, internal::flow_entry& entry,
                          const packet_arrived& event)
{
    entry.active = now;
    m_effects.add(internal::deliver_effect{entry.key, event.payload});
    end_flow(event.header.flow, "caller_reset");
    send_batch();
}

void agent::find_or_place(time_point now, const packet_arrived& event)
{
    const packet_header& header = event.header;
    const internal::redirect_entry* known = m_redirects.find(header.flow, now);
    if (header.hops >= hop_limit)
    {
        ++m_counts.too_many_hops;
        // Whatever is known here led nowhere.
        m_redirects.erase(header.flow);
        decide(flow_action::dropped, header.flow, header.table, candidate(),
               "too_many_hops");
        return;
    }
    if (known != nullptr)
    {
        const bool sent = known->is_mark() ? follow_mark(now, event, *known)
                                           : follow_redirect(event, *known);
        if (sent)
        {
            return;
        }
    }
    switch (header.pass)
    {
    case packet_pass::lookup:
        look_up(now, event);
        break;
    case packet_pass::walk:
        walk(now, header, event);
        break;
    case packet_pass::admit:
        ask_to_admit(now, header, event);
        break;
    case packet_pass::place:
        place(now, header, event);
        break;
    }
}

bool agent::follow_redirect(const packet_arrived& event,
                            const internal::redirect_entry& known)
{
    const packet_header& header = event.header;
    const candidate to = known.to;
    const bool came_back = header.pass == packet_pass::lookup &&
                           header.hops > 0 && header.previous.size() == 1 &&
                           header.previous[0] == to;
    if (came_back || m_members.is_gone(to.tag) || to == m_self)
    {
        m_redirects.erase(header.flow);
        return false;
    }
    packet_header sent = header;
    internal::look_up_at(sent, to);
    ++m_counts.redirected;
    forward(sent, event, flow_action::redirected, "owner_published");
    return true;
}

bool agent::follow_mark(time_point now, const packet_arrived& event,
                        const internal::redirect_entry& mark)
{
    const packet_header& header = event.header;
    // Those on a walk follow a walk's trail in their own way, and those that
    // ask candidates have the end of the walk behind them.
    const bool from_walk = mark.kind == redirect_kind::walked;
    const bool is_behind =
        mark.kind == redirect_kind::ended && header.pass == packet_pass::admit;
    const bool applies = may_open(header.role) &&
                         header.pass != packet_pass::place && !from_walk &&
                         !is_behind && mark.to != m_self &&
                         mark.expires - now > margin_of(header.pass) &&
                         !m_members.is_gone(mark.to.tag);
    if (!applies)
    {
        return false;
    }
    packet_header sent = header;
    sent.pass = packet_pass::admit;
    switch (mark.kind)
    {
    case redirect_kind::ended:
        internal::ask_first(sent, mark.to);
        break;
    case redirect_kind::asked:
        // Should it overtake the packet that it follows, it asks no further:
        // its own chain might lead back along the trail.
        internal::ask_only(sent, mark.to);
        break;
    default:
        internal::address_to(sent, mark.to);
        sent.pass = packet_pass::place;
    }
    ++m_counts.diverted;
    forward(sent, event, flow_action::looked_up, "being_placed");
    return true;
}

void agent::look_up(time_point now, const packet_arrived& event)
{
    packet_header header = event.header;
    if (header.position != 0)
    {
        // Who sent it here took this agent for the owner.
        if (may_adopt(now, header.role))
        {
            place(now, header, event);
            return;
        }
        return_to_head(header, event);
        return;
    }
    const internal::redirect_entry* mark = m_redirects.find(header.flow, now);
    const bool others_look = mark != nullptr;
    const bool settled = !m_members.may_be_owned_elsewhere(now, header.table);
    if (may_open(header.role) && settled && !others_look)
    {
        start_admission(now, header, event);
        return;
    }
    start_walk(now, header, event);
}

void agent::return_to_head(packet_header header, const packet_arrived& event)
{
    const candidate* head = internal::candidate_at(header, 0);
    if (*head == m_self || m_members.is_gone(head->tag))
    {
        // Nobody is left to decide; the caller's next packet finds a head.
        decide(flow_action::dropped, header.flow, header.table, candidate(),
               "no_head");
        return;
    }
    header.position = 0;
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "not_the_owner");
}

void agent::start_walk(time_point now, packet_header header,
                       const packet_arrived& event)
{
    internal::drop_repeated(header);
    m_members.widen(header, now);
    header.pass = packet_pass::walk;
    header.best = packet_header::no_position;
    const candidate* first = next_on_walk(header, 0);
    if (first == nullptr || *first == m_self)
    {
        walk(now, header, event);
        return;
    }
    internal::address_to(header, *first);
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "owner_unknown");
}

// Agents are met in one order, and each packet goes where the one before it
// went as well as along its own chains. So two packets whose chains share an
// agent end up at the same last one, and that one decides. What an agent on
// the way knows beyond the packet's chains joins them.
void agent::walk(time_point now, packet_header header,
                 const packet_arrived& event)
{
    internal::address_to(header, m_self);
    const bool is_likely_owner =
        header.role == packet_role::continues || header.position == 0;
    if (header.best == packet_header::no_position && is_likely_owner &&
        may_adopt(now, header.role))
    {
        header.best = header.position;
    }
    const candidate_chain known_before = header.previous;
    m_members.widen(header, now);
    const internal::redirect_entry* mark = m_redirects.find(header.flow, now);
    if (mark != nullptr && mark->kind == redirect_kind::walked &&
        may_open(header.role))
    {
        internal::add_on_walk(header, mark->to);
    }
    const candidate* missed = missed_on_walk(header, known_before);
    const std::uint64_t here =
        internal::walk_order(stable_hash(header.flow), m_self);
    const candidate* next =
        missed != nullptr ? missed : next_on_walk(header, here);
    if (next == nullptr)
    {
        end_walk(now, header, event);
        return;
    }
    const candidate to = *next;
    if (missed == nullptr)
    {
        leave_mark(now, header, to, redirect_kind::walked);
    }
    internal::address_to(header, to);
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "owner_unknown");
}

// The first of those that joined the packet's chains here and come before
// this agent in the order of the walk; the walk goes on from there.
const candidate* agent::missed_on_walk(const packet_header& header,
                                       const candidate_chain& before) const
{
    const std::uint64_t hash = stable_hash(header.flow);
    const candidate* first = nullptr;
    std::uint64_t first_order = internal::walk_order(hash, m_self);
    for (const candidate& next : header.previous)
    {
        const bool is_new =
            std::find(before.begin(), before.end(), next) == before.end();
        const std::uint64_t order = internal::walk_order(hash, next);
        if (is_new && order < first_order && !m_members.is_gone(next.tag))
        {
            first = &next;
            first_order = order;
        }
    }
    return first;
}

const candidate* agent::next_on_walk(const packet_header& header,
                                     std::uint64_t after) const
{
    const std::uint64_t hash = stable_hash(header.flow);
    const std::size_t count = header.current.size() + header.previous.size();
    const candidate* best = nullptr;
    std::uint64_t best_order = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        const candidate* next = internal::candidate_at(header, i);
        const std::uint64_t order = internal::walk_order(hash, *next);
        const bool is_nearer = best == nullptr || order < best_order;
        if (order > after && is_nearer && !m_members.is_gone(next->tag))
        {
            best = next;
            best_order = order;
        }
    }
    return best;
}

void agent::end_walk(time_point now, packet_header header,
                     const packet_arrived& event)
{
    if (header.best != packet_header::no_position)
    {
        header.position = header.best;
        const candidate adopter = *internal::candidate_at(header, header.best);
        header.pass = packet_pass::place;
        if (adopter == m_self)
        {
            place(now, header, event);
            return;
        }
        leave_mark(now, header, adopter, redirect_kind::chosen);
        forward(header, event, flow_action::looked_up, "may_adopt");
        return;
    }
    if (header.role == packet_role::continues)
    {
        reset_unknown(header);
        return;
    }
    if (may_open(header.role))
    {
        start_admission(now, header, event);
    }
}

void agent::reset_unknown(const packet_header& header)
{
    ++m_counts.unknown_flows;
    const flow_refusal told{verdict::may_have_run, refusal_reason::unknown_flow,
                            duration::zero()};
    m_effects.add(
        internal::reset_caller_effect{header.return_to, header.flow, told});
    decide(flow_action::reset, header.flow, header.table, candidate(),
           to_string(told.reason));
}

void agent::start_admission(time_point now, packet_header header,
                            const packet_arrived& event)
{
    header.pass = packet_pass::admit;
    header.best = packet_header::no_position;
    const std::size_t first = next_usable(header, 0);
    if (first == header.current.size())
    {
        refuse(header, event);
        return;
    }
    header.position = static_cast<std::uint8_t>(first);
    const candidate head = header.current[first];
    if (head == m_self)
    {
        ask_to_admit(now, header, event);
        return;
    }
    leave_mark(now, header, head, redirect_kind::ended);
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "no_owner");
}

void agent::ask_to_admit(time_point now, packet_header header,
                         const packet_arrived& event)
{
    const std::size_t flows = m_flows.size();
    if (m_admission.can_admit(now, flows))
    {
        const bool is_first = header.best == packet_header::no_position;
        const bool any_will_do =
            m_admission.sharing().goal == service_goal::continuity;
        const bool at_once = m_admission.admits_at_once(now, flows);
        if (m_admission.wants_trial(now) ||
            (at_once && (is_first || any_will_do)))
        {
            take(now, header, event, flow_action::admitted, "low_load");
            return;
        }
        const std::uint32_t own = m_admission.load(flows);
        if (is_first || own < header.best_load)
        {
            header.best = header.position;
            header.best_load = own;
        }
    }
    ask_next(now, header, event);
}

void agent::ask_next(time_point now, packet_header header,
                     const packet_arrived& event)
{
    const std::size_t next = next_usable(header, header.position + 1U);
    if (next >= header.current.size())
    {
        choose(now, header, event);
        return;
    }
    header.position = static_cast<std::uint8_t>(next);
    leave_mark(now, header, header.current[next], redirect_kind::asked);
    ++m_counts.handed_off;
    forward(header, event, flow_action::handed_off, "compare_load");
}

void agent::choose(time_point now, packet_header header,
                   const packet_arrived& event)
{
    if (header.best == packet_header::no_position)
    {
        refuse(header, event);
        return;
    }
    const candidate chosen = *internal::candidate_at(header, header.best);
    if (chosen == m_self)
    {
        take(now, header, event, flow_action::admitted, "least_load");
        return;
    }
    header.position = header.best;
    header.pass = packet_pass::place;
    leave_mark(now, header, chosen, redirect_kind::chosen);
    ++m_counts.handed_off;
    forward(header, event, flow_action::handed_off, "least_load");
}

void agent::place(time_point now, const packet_header& header,
                  const packet_arrived& event)
{
    if (may_adopt(now, header.role))
    {
        take(now, header, event, flow_action::adopted, "upstream_lived_on");
        return;
    }
    if (!may_open(header.role) || !m_admission.can_admit(now, m_flows.size()))
    {
        refuse(header, event);
        return;
    }
    take(now, header, event, flow_action::admitted, "least_load");
}

void agent::refuse(const packet_header& header, const packet_arrived& event)
{
    const refusal_reason reason = m_admission.is_draining()
                                      ? refusal_reason::leaving
                                      : refusal_reason::full;
    const flow_refusal told{verdict::not_run, reason, m_settings.retry_after};
    ++m_counts.refused;
    m_effects.add(internal::refuse_effect{header.return_to, header.flow,
                                          event.payload, told});
    decide(flow_action::refused, header.flow, header.table, candidate(),
           to_string(reason));
}

void agent::take(time_point now, const packet_header& header,
                 const packet_arrived& event, flow_action how,
                 std::string_view reason)
{
    m_redirects.erase(header.flow);
    internal::flow_entry& entry = m_flows.open(header.flow, now);
    entry.return_to = header.return_to;
    entry.checked = m_check;
    const bool adopted = how == flow_action::adopted;
    ++(adopted ? m_counts.adopted : m_counts.admitted);
    m_admission.admitted(now);
    note_caller_packet(now, entry, event.need);
    m_effects.add(internal::deliver_effect{header.flow, event.payload});
    decide(how, header.flow, header.table, m_self, reason);
    publish_opened(now, entry, header);
}

bool agent::may_adopt(time_point now, packet_role role) const
{
    if (now >= m_adopt_until)
    {
        return false;
    }
    // Whether a datagram opens a flow can't be told: an upstream that leaves
    // must not get new ones.
    const bool has_room =
        m_flows.size() < 2 * std::size_t{m_admission.limits().connections};
    return has_room &&
           (role == packet_role::continues || !m_admission.is_draining());
}

void agent::forward(packet_header header, const packet_arrived& event,
                    flow_action how, std::string_view reason)
{
    ++header.hops;
    const candidate to = *internal::candidate_at(header, header.position);
    m_effects.add(internal::forward_effect{to.agent, header, event.payload});
    decide(how, header.flow, header.table, to, reason);
}

void agent::leave_mark(time_point now, const packet_header& header,
                       const candidate& to, internal::redirect_kind kind)
{
    const internal::redirect_entry* known = m_redirects.find(header.flow, now);
    const bool is_published = known != nullptr && !known->is_mark();
    if (is_published || !may_open(header.role))
    {
        return;
    }
    m_redirects.put(internal::redirect_entry{
        header.flow, to, kind, now + m_settings.placing_lifetime});
}

std::size_t agent::next_usable(const packet_header& header,
                               std::size_t from) const
{
    std::size_t next = from;
    while (next < header.current.size() &&
           m_members.is_gone(header.current[next].tag))
    {
        ++next;
    }
    return next;
}

} // namespace crowlink
