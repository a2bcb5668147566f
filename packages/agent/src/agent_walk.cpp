#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>

namespace crowlink
{

using internal::redirect_kind;

void agent::start_walk(time_point now, packet_header header,
                       const packet_arrived& event, silent_query asked)
{
    internal::remove_duplicates(header);
    m_members.add_known_candidates(header, now);
    if (asked == silent_query::due && skips_silent(header) &&
        query_silent_members(now, header, event))
    {
        return;
    }
    header.pass = packet_pass::walk;
    header.best = packet_header::no_position;
    const candidate* first = next_on_walk(header, 0);
    if (first == nullptr || *first == m_self)
    {
        walk(now, header, event, m_self, asked);
        return;
    }
    internal::address_to(header, *first);
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "owner_unknown");
}

// All walks for a flow visit agents in one order, and each packet follows the
// path of the packet before it as well as its own chains. Two packets whose
// chains share an agent therefore end at the same last agent, which decides.
// Candidates that an agent on the path knows beyond the packet's chains are
// added to them. An earlier incarnation of the upstream keeps its own position
// in the order, so that none is visited twice.
void agent::walk(time_point now, packet_header header,
                 const packet_arrived& event, const candidate& as,
                 silent_query asked)
{
    internal::address_to(header, as);
    const bool is_likely_owner =
        as == m_self &&
        (header.role == packet_role::continues || header.position == 0);
    if (header.best == packet_header::no_position && is_likely_owner &&
        may_adopt(now, header, false))
    {
        header.best = header.position;
    }
    const candidate_chain known_before = header.previous;
    m_members.add_known_candidates(header, now);
    if (asked == silent_query::due && skips_silent(header) &&
        query_silent_members(now, header, event))
    {
        return;
    }
    const internal::redirect_entry* hint = m_redirects.find(header.flow, now);
    if (hint != nullptr && hint->kind == redirect_kind::walked &&
        internal::may_open(header.role))
    {
        internal::add_on_walk(header, hint->to);
    }
    const candidate* missed = missed_on_walk(header, known_before, as);
    const std::uint64_t here =
        internal::walk_order(stable_hash(header.flow), as);
    const candidate* next =
        missed != nullptr ? missed : next_on_walk(header, here);
    if (next == nullptr)
    {
        end_walk(now, header, event, asked);
        return;
    }
    const candidate to = *next;
    if (missed == nullptr)
    {
        record_hint(now, header, to, redirect_kind::walked);
    }
    internal::address_to(header, to);
    ++m_counts.looked_up;
    forward(header, event, flow_action::looked_up, "owner_unknown");
}

// The first of the candidates that were added here and precede this agent in
// the order of the walk; the walk continues from it.
const candidate* agent::missed_on_walk(const packet_header& header,
                                       const candidate_chain& before,
                                       const candidate& as) const
{
    const std::uint64_t hash = stable_hash(header.flow);
    const candidate* first = nullptr;
    std::uint64_t first_order = internal::walk_order(hash, as);
    for (const candidate& next : header.previous)
    {
        const bool is_new =
            std::find(before.begin(), before.end(), next) == before.end();
        const std::uint64_t order = internal::walk_order(hash, next);
        if (is_new && order < first_order &&
            !m_members.is_unavailable(next.tag))
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
        if (order > after && is_nearer && !m_members.is_unavailable(next->tag))
        {
            best = next;
            best_order = order;
        }
    }
    return best;
}

void agent::end_walk(time_point now, packet_header header,
                     const packet_arrived& event, silent_query asked)
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
        record_hint(now, header, adopter, redirect_kind::chosen);
        forward(header, event, flow_action::looked_up, "may_adopt");
        return;
    }
    if (header.role == packet_role::continues)
    {
        start_search(now, header, event);
        return;
    }
    if (internal::may_open(header.role))
    {
        start_admission(now, header, event, asked);
    }
}

} // namespace crowlink
