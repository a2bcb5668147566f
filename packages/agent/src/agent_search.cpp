#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

// Who sends a packet of a flow that nobody on its way knows? Either an agent
// beyond its chains has the flow, or its upstream is gone and the caller waits
// in vain until its own deadline. The search tells the two apart: the packet
// goes to each member of the service in turn. A member whose agent has
// restarted tries its upstream, which returns what it does not hold. Once every
// member has shown that it does not have the flow, the caller is reset.
void agent::start_search(time_point now, packet_header header,
                         const packet_arrived& event)
{
    if (m_searches_left == 0 || m_members.members() > m_settings.most_searched)
    {
        ++m_counts.searches_omitted;
        return;
    }
    --m_searches_left;
    header.pass = packet_pass::search;
    header.best = packet_header::no_position;
    const auto first = m_members.next_in_search(header.flow, 0);
    if (!first)
    {
        end_search(now, header, event);
        return;
    }
    search_on(header, event, *first);
    if (*first == m_self)
    {
        search(now, header, event);
    }
}

void agent::search(time_point now, const packet_header& header,
                   const packet_arrived& event)
{
    if (may_adopt(now, header, false))
    {
        take(now, header, event, flow_action::adopted, "searched_for");
        return;
    }
    const bool goes_no_further = header.best != packet_header::no_position;
    const bool may_have_it =
        now < m_adopt_old_until && !m_returned.holds(header.flow);
    if (goes_no_further || may_have_it)
    {
        return;
    }
    const std::uint64_t here =
        internal::walk_order(stable_hash(header.flow), m_self);
    const auto next = m_members.next_in_search(header.flow, here);
    if (!next)
    {
        end_search(now, header, event);
        return;
    }
    search_on(header, event, *next);
}

void agent::search_on(const packet_header& header, const packet_arrived& event,
                      const candidate& next)
{
    if (next == m_self)
    {
        return;
    }
    packet_header sent = header;
    internal::address_to(sent, next);
    ++m_counts.searched;
    forward(sent, event, flow_action::looked_up, "searched_for");
}

// Those that control does not hear may have the flow and serve it: each gets a
// copy, and only a caller that repeats itself all the same is reset.
void agent::end_search(time_point now, const packet_header& header,
                       const packet_arrived& event)
{
    const std::vector<candidate> silent = m_members.silent_members();
    if (!silent.empty() && gives_up(now, event))
    {
        reset_silent(header);
        return;
    }
    for (const candidate& each : silent)
    {
        packet_header copy = header;
        internal::address_to(copy, each);
        copy.best = copy.position;
        forward(copy, event, flow_action::looked_up, "owner_may_be_silent");
    }
    if (!silent.empty() || may_be_moved(header))
    {
        return;
    }
    if (!knows_members(now))
    {
        m_held.hold(header, event.payload);
        return;
    }
    reset_unknown(header);
}

// What was held is searched for anew, through the network even where this agent
// comes first: each packet is handled as one that arrives.
void agent::release_held(time_point now)
{
    if (!knows_members(now))
    {
        return;
    }
    m_released.clear();
    while (m_searches_left > 0)
    {
        std::optional<internal::held_search> held = m_held.take();
        if (!held)
        {
            return;
        }
        const auto first = m_members.next_in_search(held->header.flow, 0);
        if (first)
        {
            m_released.push_back(std::move(*held));
            search_again(m_released.back(), *first);
        }
    }
}

void agent::search_again(const internal::held_search& held,
                         const candidate& first)
{
    --m_searches_left;
    packet_header sent = held.header;
    sent.hops = 0;
    internal::address_to(sent, first);
    ++m_counts.searched;
    forward(sent, packet_arrived{held.header, held.payload},
            flow_action::looked_up, "searched_for");
}

// Members that restarted together with this one may not be announced yet.
bool agent::knows_members(time_point now) const
{
    const auto since = m_members.known_since();
    return since && now - *since >= m_settings.members_known_after;
}

// Whether the flow's address was moved here from a service whose members this
// agent does not know: they may have it.
bool agent::may_be_moved(const packet_header& header) const
{
    return std::any_of(header.previous.begin(), header.previous.end(),
                       [this](const candidate& each) {
                           return !m_members.is_member(each.tag) &&
                                  !m_members.has_ended(each.tag);
                       });
}

// Whether a caller waits in vain for a flow that was sent to silent upstreams.
bool agent::gives_up(time_point now, const packet_arrived& event)
{
    const flow_key& flow = event.header.flow;
    if (event.need == answer_need::required)
    {
        return m_repeated.sent(now, flow, event.sequence);
    }
    if (event.need == answer_need::none)
    {
        m_repeated.acknowledged(flow);
    }
    return false;
}

void agent::reset_silent(const packet_header& header)
{
    m_repeated.forget(header.flow);
    ++m_counts.upstream_silent;
    const flow_refusal told{verdict::may_have_run,
                            refusal_reason::upstream_failed, duration::zero()};
    m_effects.add(
        internal::reset_caller_effect{header.return_to, header.flow, told});
    decide(flow_action::reset, header.flow, header.table, candidate(),
           "upstream_silent");
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

} // namespace crowlink
