#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"
#include "crowlink/agent/forward_opening.hpp"

namespace crowlink
{

agent::route agent::route_of(time_point now, const packet_arrived& event)
{
    if (is_for_former_incarnation(event.header))
    {
        return route_of_former_incarnation(now, event);
    }
    if (!is_addressed_here(event))
    {
        forward_misaddressed(event);
        return route::elsewhere;
    }
    internal::flow_entry* entry = m_flows.find(event.header.flow);
    if (entry != nullptr && reuses_closed_flow(*entry, event) &&
        !can_open(now, event.header))
    {
        end_flow(event.header.flow, "no_room");
        entry = nullptr;
    }
    if (entry == nullptr && take_for_held(event))
    {
        return route::elsewhere;
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

// Whether the packet is for an earlier incarnation of this agent's upstream.
// Its sender has not learned of the present one yet.
bool agent::is_for_former_incarnation(const packet_header& header) const
{
    // A datagram does not show whether it belongs to an earlier flow.
    const bool is_role_certain = header.role == packet_role::opens ||
                                 header.role == packet_role::continues;
    const candidate* const addressed =
        internal::candidate_at(header, header.position);
    return is_role_certain && addressed != nullptr &&
           header.service == m_record.service &&
           addressed->agent == m_self.agent && addressed->tag != m_tag;
}

// The present upstream can serve new flows in place of its earlier incarnation,
// and the owner of an old flow is looked for as for any unknown flow.
agent::route agent::route_of_former_incarnation(time_point now,
                                                const packet_arrived& event)
{
    packet_header header = event.header;
    ++m_counts.former_incarnation;
    const bool is_known = m_flows.find(header.flow) != nullptr;
    if (header.pass == packet_pass::walk && !is_known &&
        header.hops < internal::hop_limit)
    {
        const candidate as = *internal::candidate_at(header, header.position);
        walk(now, header, event, as);
        send_batch();
        return route::elsewhere;
    }
    (void)internal::replace_former_incarnation(header, m_self);
    return route_of(now, packet_arrived{header, event.payload, event.need,
                                        event.finishes, event.will_retransmit,
                                        event.sequence, event.copy});
}

// Forwards an opening packet that arrived here by mistake to the next
// candidate, so that its caller need not wait for its own retransmission.
void agent::forward_misaddressed(const packet_arrived& event)
{
    packet_header header = event.header;
    if (header.hops >= internal::hop_limit ||
        !forward_opening(header, m_self.agent))
    {
        return;
    }
    ++m_counts.handed_off;
    const candidate to = header.current[header.position];
    m_effects.add(internal::forward_effect{to.agent, header, event.payload});
    decide(flow_action::handed_off, header.flow, header.table, to,
           "not_the_candidate");
}

// Whether a caller reuses the addresses of a finished flow for a new one.
bool agent::reuses_closed_flow(const internal::flow_entry& entry,
                               const packet_arrived& event)
{
    return entry.lingering && event.header.role == packet_role::opens;
}

bool agent::is_addressed_here(const packet_arrived& event)
{
    const packet_header& header = event.header;
    // An open flow stays with its upstream when its address moves to another
    // service: packets that certainly belong to a connection are accepted by
    // tag. New flows are admitted only by agents of the header's service.
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
    if (reuses_closed_flow(entry, event))
    {
        m_admission.admitted(now);
        if (queue_terms(now, event.header) != nullptr)
        {
            m_admission.opened(now);
        }
        reopen(entry);
    }
    const bool unchecked = entry.checked != m_check;
    if (unchecked && m_redirects_left > 0)
    {
        check_redirects(now, entry, false);
        send_batch();
    }
    // An unchecked flow keeps its position, so that the iteration over
    // unchecked flows still reaches it.
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
        notify_head(now, entry, event.header);
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

} // namespace crowlink
