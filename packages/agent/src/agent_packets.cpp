#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"
#include "crowlink/agent/hand_on_opening.hpp"

namespace crowlink
{

using internal::redirect_kind;

namespace
{

// More agents than a packet meets in a walk over two chains, an admission over
// one, and a few detours.
constexpr std::uint8_t hop_limit = 32;
// A walk over two chains is done by then. Two agents that were told of an owner
// which lost the flow can send a packet round: the owner gives it back to the
// head, whose walk meets them again. What is known of the flow on the way has
// led nowhere, and is forgotten, so that its caller can be reset.
constexpr std::uint8_t led_astray_after = 12;

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
    if (names_former_life(event.header))
    {
        return route_of_former_life(now, event);
    }
    if (!is_for_this(event))
    {
        pass_by(event);
        return route::elsewhere;
    }
    internal::flow_entry* entry = m_flows.find(event.header.flow);
    if (entry != nullptr && is_new_again(*entry, event) &&
        !m_admission.can_admit(now, m_flows.open_count()))
    {
        end_flow(event.header.flow, "no_room");
        entry = nullptr;
    }
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

// Whether the packet is for an upstream that ran beside this agent before the
// present one. Whoever sent it has not heard of the present one yet.
bool agent::names_former_life(const packet_header& header) const
{
    // A datagram does not tell whether it belongs to a flow of before.
    const bool is_told = header.role == packet_role::opens ||
                         header.role == packet_role::continues;
    const candidate* const addressed =
        internal::candidate_at(header, header.position);
    return is_told && addressed != nullptr &&
           header.service == m_record.service &&
           addressed->agent == m_self.agent && addressed->tag != m_tag;
}

// The present upstream serves new flows as well as the former one would, and
// whether another one has an old flow is found out as for any unknown flow.
agent::route agent::route_of_former_life(time_point now,
                                         const packet_arrived& event)
{
    packet_header header = event.header;
    ++m_counts.former_life;
    const bool is_known = m_flows.find(header.flow) != nullptr;
    if (header.pass == packet_pass::walk && !is_known &&
        header.hops < hop_limit)
    {
        const candidate as = *internal::candidate_at(header, header.position);
        walk(now, header, event, as);
        send_batch();
        return route::elsewhere;
    }
    (void)internal::replace_former_life(header, m_self);
    return route_of(now, packet_arrived{header, event.payload, event.need,
                                        event.finishes, event.comes_again,
                                        event.sequence});
}

// An opening packet that came here by mistake goes to the next candidate, so
// that its caller need not wait to send it once more.
void agent::pass_by(const packet_arrived& event)
{
    packet_header header = event.header;
    if (header.hops >= hop_limit || !hand_on_opening(header, m_self.agent))
    {
        return;
    }
    ++m_counts.handed_off;
    const candidate to = header.current[header.position];
    m_effects.add(internal::forward_effect{to.agent, header, event.payload});
    decide(flow_action::handed_off, header.flow, header.table, to,
           "not_the_candidate");
}

// Whether a caller uses the addresses of a flow that has ended for a new one.
bool agent::is_new_again(const internal::flow_entry& entry,
                         const packet_arrived& event)
{
    return entry.lingering && event.header.role == packet_role::opens;
}

bool agent::is_for_this(const packet_arrived& event)
{
    const packet_header& header = event.header;
    // A flow that is open stays with its upstream when its address moves to
    // another service: what surely belongs to a connection is taken by tag.
    // New flows are admitted by agents of the header's service alone.
    const bool may_be_older = header.role != packet_role::any &&
                              header.pass != packet_pass::admit &&
                              header.pass != packet_pass::place;
    if (header.service != m_record.service && !may_be_older)
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
    if (is_new_again(entry, event))
    {
        m_admission.admitted(now);
        reopen(entry);
    }
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
    const bool is_search = header.pass == packet_pass::search;
    if (header.hops >= hop_limit)
    {
        ++m_counts.too_many_hops;
        // Whatever is known here led nowhere.
        m_redirects.erase(header.flow);
        decide(flow_action::dropped, header.flow, header.table, candidate(),
               "too_many_hops");
        return;
    }
    if (known != nullptr && !known->is_mark() && !is_search &&
        header.hops >= led_astray_after)
    {
        m_redirects.erase(header.flow);
        known = nullptr;
    }
    // Whoever searches asked this agent itself; what it was told long ago must
    // not turn the packet aside.
    if (known != nullptr && !is_search)
    {
        const bool sent = known->is_mark()
                              ? follow_mark(now, event, *known)
                              : follow_redirect(now, event, *known);
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
        walk(now, header, event, m_self);
        break;
    case packet_pass::admit:
        ask_to_admit(now, header, event);
        break;
    case packet_pass::place:
        place(now, header, event);
        break;
    case packet_pass::search:
        search(now, header, event);
        break;
    }
}

bool agent::follow_redirect(time_point now, const packet_arrived& event,
                            const internal::redirect_entry& known)
{
    const packet_header& header = event.header;
    const candidate to = known.to;
    const bool came_back = header.pass == packet_pass::lookup &&
                           header.hops > 0 && header.previous.size() == 1 &&
                           header.previous[0] == to;
    if (came_back || m_members.has_ended(to.tag) || to == m_self)
    {
        m_redirects.erase(header.flow);
        return false;
    }
    const bool is_given_up =
        m_members.is_given_up(to.tag) && event.need == answer_need::required;
    if (is_given_up || (m_members.is_silent(to.tag) && gives_up(now, event)))
    {
        m_redirects.erase(header.flow);
        reset_silent(header, event.payload);
        return true;
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
    const bool applies = internal::may_open(header.role) &&
                         header.pass != packet_pass::place && !from_walk &&
                         !is_behind && mark.to != m_self &&
                         mark.expires - now > margin_of(header.pass) &&
                         !m_members.has_ended(mark.to.tag);
    if (!applies)
    {
        return false;
    }
    if (m_members.is_silent(mark.to.tag))
    {
        return ask_silent(now, header, event);
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
        if (may_adopt(now, header, true))
        {
            take(now, header, event, flow_action::adopted, "upstream_lived_on");
            return;
        }
        return_to_head(now, header, event);
        return;
    }
    const internal::redirect_entry* mark = m_redirects.find(header.flow, now);
    const bool others_look = mark != nullptr;
    const bool settled = !m_members.may_be_owned_elsewhere(now, header.table);
    if (internal::may_open(header.role) && settled && !others_look)
    {
        start_admission(now, header, event);
        return;
    }
    start_walk(now, header, event);
}

void agent::return_to_head(time_point now, packet_header header,
                           const packet_arrived& event)
{
    const candidate* head = internal::candidate_at(header, 0);
    if (*head == m_self || m_members.is_gone(head->tag))
    {
        start_walk(now, header, event);
        return;
    }
    header.position = 0;
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "not_the_owner");
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
    if (is_published || !internal::may_open(header.role))
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
