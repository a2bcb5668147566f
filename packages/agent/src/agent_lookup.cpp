#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

// Routing of packets whose flow this agent does not own.

namespace crowlink
{

using internal::redirect_kind;

namespace
{

// A walk over two chains has ended after this many hops. Two agents that hold a
// redirect to an owner which has lost the flow can form a loop: the owner
// returns the packet to the head, whose walk visits them again. Redirects on
// the way are then ignored and erased, so that the caller can be reset.
constexpr std::uint8_t max_redirected_hops = 12;

// The hints along a path expire one after another. A packet that starts to
// follow them needs time to reach the last one, where the flow's owner is
// known.
duration hint_margin(packet_pass pass)
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

void agent::find_or_place(time_point now, const packet_arrived& event)
{
    const packet_header& header = event.header;
    const internal::redirect_entry* known = m_redirects.find(header.flow, now);
    const bool is_search = header.pass == packet_pass::search ||
                           header.pass == packet_pass::search_service;
    if (header.hops >= internal::hop_limit)
    {
        ++m_counts.too_many_hops;
        // The stored entry, if any, did not lead to an owner.
        m_redirects.erase(header.flow);
        decide(flow_action::dropped, header.flow, header.table, candidate(),
               "too_many_hops");
        return;
    }
    if (known != nullptr && !known->is_hint() && !is_search &&
        header.hops >= max_redirected_hops)
    {
        m_redirects.erase(header.flow);
        known = nullptr;
    }
    // A search asks this agent itself; an old redirect must not divert its
    // packet.
    if (known != nullptr && !is_search)
    {
        const bool sent = known->is_hint()
                              ? follow_hint(now, event, *known)
                              : follow_redirect(now, event, *known);
        if (sent)
        {
            return;
        }
    }
    continue_pass(now, event, silent_query::due);
}

void agent::continue_pass(time_point now, const packet_arrived& event,
                          silent_query asked)
{
    const packet_header& header = event.header;
    switch (header.pass)
    {
    case packet_pass::lookup:
        asked == silent_query::due ? look_up(now, event)
                                   : resume_at_head(now, event);
        break;
    case packet_pass::walk:
        walk(now, header, event, m_self, asked);
        break;
    case packet_pass::admit:
        evaluate_admission(now, header, event);
        break;
    case packet_pass::place:
        place(now, header, event);
        break;
    case packet_pass::search:
        search(now, header, event);
        break;
    case packet_pass::search_service:
        search_own_service(now, header, event);
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
    if (m_members.is_silent(to.tag) && is_unserved(now, event, to))
    {
        m_redirects.erase(header.flow);
        reset_silent(now, header, event.payload, {to});
        return true;
    }
    packet_header sent = header;
    internal::address_lookup_to(sent, to);
    ++m_counts.redirected;
    forward(sent, event, flow_action::redirected, "owner_published");
    return true;
}

// Whether a silent owner does not serve the flow of this packet. Its caller
// alone does not show that: an upstream may take longer than the caller waits
// before it retransmits.
bool agent::is_unserved(time_point now, const packet_arrived& event,
                        const candidate& owner)
{
    const bool is_awaited = event.need == answer_need::required;
    if (is_awaited)
    {
        ask_directly(now, owner, event.header.flow);
    }
    const bool may_be_unserved =
        (is_awaited && m_members.is_given_up(owner.tag)) ||
        caller_retransmits(now, event);
    return may_be_unserved && is_unanswered(now, owner);
}

bool agent::follow_hint(time_point now, const packet_arrived& event,
                        const internal::redirect_entry& hint)
{
    const packet_header& header = event.header;
    // A packet on a walk handles the hints of walks itself, and a packet that
    // asks candidates has passed the end of the walk.
    const bool from_walk = hint.kind == redirect_kind::walked;
    const bool is_behind =
        hint.kind == redirect_kind::ended && header.pass == packet_pass::admit;
    const bool applies = internal::may_open(header.role) &&
                         header.pass != packet_pass::place && !from_walk &&
                         !is_behind && hint.to != m_self &&
                         hint.expires - now > hint_margin(header.pass) &&
                         !m_members.has_ended(hint.to.tag);
    if (!applies)
    {
        return false;
    }
    if (m_members.is_silent(hint.to.tag))
    {
        return query_silent_members(now, header, event);
    }
    packet_header sent = header;
    sent.pass = packet_pass::admit;
    switch (hint.kind)
    {
    case redirect_kind::ended:
        internal::set_first_candidate(sent, hint.to);
        break;
    case redirect_kind::asked:
        // A packet that overtakes the one that it follows asks no further
        // candidates: its own chain might lead back along the path.
        internal::set_only_candidate(sent, hint.to);
        break;
    default:
        internal::address_to(sent, hint.to);
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
        // The sender took this agent for the owner.
        if (may_adopt(now, header, true))
        {
            accept_flow(now, header, event, flow_action::adopted,
                        "upstream_lived_on");
            return;
        }
        return_to_head(now, header, event);
        return;
    }
    const internal::redirect_entry* hint = m_redirects.find(header.flow, now);
    const bool others_search = hint != nullptr;
    const bool settled = !m_members.may_be_owned_elsewhere(now, header.table);
    if (internal::may_open(header.role) && settled && !others_search)
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
    if (*head == m_self || m_members.is_unavailable(head->tag))
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

void agent::record_hint(time_point now, const packet_header& header,
                        const candidate& to, internal::redirect_kind kind)
{
    const internal::redirect_entry* known = m_redirects.find(header.flow, now);
    const bool is_published = known != nullptr && !known->is_hint();
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
           m_members.is_unavailable(header.current[next].tag))
    {
        ++next;
    }
    return next;
}

} // namespace crowlink
