#include "crowlink/agent/agent.hpp"

#include <algorithm>

// Searches that cross services: an address may have led to several of them, and
// an agent knows the members of its own alone. The services are searched one
// after the other, and the last one resets the caller if all have denied the
// flow.

namespace crowlink
{

// The candidates of services that were not searched: the flow's address may
// have led there. The current chain is that of the header's service, and the
// previous one may name any. After a search elsewhere the previous one names
// all that are left.
candidate_chain agent::candidates_elsewhere(const packet_header& header) const
{
    candidate_chain found;
    const auto add = [&](const candidate& each)
    {
        const bool is_own = m_members.is_agent_of_member(each.agent) ||
                            m_members.has_ended(each.tag);
        if (!is_own)
        {
            found.push_back(each);
        }
    };
    std::for_each(header.previous.begin(), header.previous.end(), add);
    if (header.service != m_record.service &&
        header.pass != packet_pass::search_service)
    {
        std::for_each(header.current.begin(), header.current.end(), add);
    }
    return found;
}

// Has the service of the first of these candidates searched. Each service drops
// its own candidates, so that the searches end.
void agent::search_service(const internal::searched_flow& searched,
                           const candidate_chain& elsewhere)
{
    packet_header sent = searched.header;
    sent.pass = packet_pass::search_service;
    sent.best = packet_header::no_position;
    sent.hops = 0;
    sent.previous = elsewhere;
    sent.position = static_cast<std::uint8_t>(sent.current.size());
    forward(sent, packet_arrived{searched.header, searched.payload},
            flow_action::looked_up, "may_be_of_other_service");
}

// No member of another service has the flow, to which its address leads or led.
void agent::search_own_service(time_point now, const packet_header& header,
                               const packet_arrived& event)
{
    if (may_adopt(now, header, false))
    {
        accept_flow(now, header, event, flow_action::adopted, "searched_for");
        return;
    }
    start_search(now, header, event);
}

} // namespace crowlink
