#include "crowlink/balancer/traffic_path.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

// The chain of the previous table, or an empty one if it equals the current
// one.
candidate_chain omit_if_equal(const candidate_chain& previous,
                              const candidate_chain& current)
{
    return previous == current ? candidate_chain() : previous;
}

using chain_list =
    boost::container::static_vector<candidate_chain, candidate_chain::capacity>;

void add_chain(chain_list& chains, const candidate_chain& added)
{
    if (!added.empty() && chains.size() < chains.capacity())
    {
        chains.push_back(added);
    }
}

// The heads of several chains first, then their second candidates, and so on:
// an owner tells the heads of its service's chain where the flow is.
candidate_chain interleave(const chain_list& chains)
{
    candidate_chain merged;
    for (std::size_t place = 0; place < candidate_chain::capacity; ++place)
    {
        for (const candidate_chain& each : chains)
        {
            if (place < each.size())
            {
                merged.push_back(each[place]);
            }
        }
    }
    return merged;
}

// Adds services that no address leads to: a flow that continues may be at one
// of them though this balancer does not know that its address led there.
// Packets that may open a flow must not reach their agents.
template <class Chains>
void add_unaddressed(chain_list& chains, const forwarding_set& set,
                     const flow_tables& tables, const Chains& chain_of)
{
    for (const table_pair* each : set.unaddressed())
    {
        const bool is_known =
            std::find(tables.former.begin(), tables.former.end(), each) !=
            tables.former.end();
        if (!is_known)
        {
            add_chain(chains, chain_of(*each->current));
        }
    }
}

// The candidates, other than those of the current table, that may own an open
// flow: those of the services that the flow was assigned to before the shares
// changed, and those of the previous table.
template <class Chains>
candidate_chain former_chain(const forwarding_set& set,
                             const flow_tables& tables, packet_role role,
                             const Chains& chain_of,
                             const candidate_chain& current)
{
    chain_list chains;
    for (const table_pair* each : tables.former)
    {
        add_chain(chains, chain_of(*each->current));
    }
    if (tables.chosen->previous != nullptr)
    {
        add_chain(chains,
                  omit_if_equal(chain_of(*tables.chosen->previous), current));
    }
    if (role == packet_role::continues)
    {
        add_unaddressed(chains, set, tables, chain_of);
    }
    return interleave(chains);
}

route_reason reason_of(const candidate_chain& current,
                       const candidate_chain& previous)
{
    if (!current.empty())
    {
        return route_reason::head_of_chain;
    }
    return previous.empty() ? route_reason::no_candidate
                            : route_reason::previous_chain;
}

} // namespace

traffic_path::traffic_path(const key_ring& keys, const endpoint& return_to,
                           std::size_t cached_chains)
    : m_codec(keys), m_chains(cached_chains), m_return_to(return_to)
{
}

tl::expected<routed_packet, route_drop>
traffic_path::route(const forwarding_set& set, const caller_packet& packet,
                    std::span<std::uint8_t> buffer)
{
    const std::uint64_t hash = stable_hash(packet.flow);
    const flow_tables found = set.tables_of(packet.flow, hash, m_turn);
    m_turn += found.has_more_former ? 1 : 0;
    const table_pair* const tables = found.chosen;
    if (tables == nullptr)
    {
        return drop(route_drop::no_service);
    }
    // Constructed in place, since copying the chains is expensive.
    forward_datagram out{
        packet_header{.service = tables->service,
                      .table = tables->current->digest(),
                      .flow = packet.flow,
                      .role = packet.role,
                      .current = m_chains.chain(*tables->current, hash),
                      .previous = candidate_chain(),
                      .omits_services = found.has_more_former,
                      .return_to = m_return_to},
        packet.payload};
    packet_header& header = out.header;
    header.previous = former_chain(
        set, found, packet.role,
        [&](const forwarding_table& table)
        { return m_chains.chain(table, hash); },
        header.current);
    if (header.current.empty() && header.previous.empty())
    {
        return drop(route_drop::no_candidate);
    }
    const std::size_t size = m_codec.encode(out, buffer);
    if (size == 0)
    {
        return drop(route_drop::too_large);
    }
    ++m_counts.forwarded;
    m_counts.forwarded_bytes += size;
    const candidate& head =
        header.current.empty() ? header.previous[0] : header.current[0];
    return routed_packet{head.agent, size, hash, found.terms};
}

std::optional<caller_answer>
traffic_path::answer(std::span<const std::uint8_t> bytes)
{
    const auto value = m_codec.decode(bytes);
    if (!value)
    {
        ++m_counts.datagram_drops[static_cast<std::size_t>(value.error())];
        return std::nullopt;
    }
    if (const auto* answer = std::get_if<answer_datagram>(&*value))
    {
        ++m_counts.answers;
        return caller_answer(*answer);
    }
    if (const auto* notice = std::get_if<notice_datagram>(&*value))
    {
        ++m_counts.notices;
        return caller_answer(*notice);
    }
    ++m_counts.misdirected;
    return std::nullopt;
}

tl::unexpected<route_drop> traffic_path::drop(route_drop reason)
{
    ++m_counts.route_drops[static_cast<std::size_t>(reason)];
    return tl::unexpected<route_drop>(reason);
}

route_decision explain(const forwarding_set& set, const flow_key& flow)
{
    route_decision decision;
    decision.flow = flow;
    const std::uint64_t hash = stable_hash(flow);
    const flow_tables found = set.tables_of(flow, hash);
    const table_pair* const tables = found.chosen;
    if (tables == nullptr)
    {
        return decision;
    }
    decision.service = tables->service;
    decision.table = tables->current->digest();
    decision.current = tables->current->chain(hash);
    decision.previous = former_chain(
        set, found, packet_role::continues,
        [hash](const forwarding_table& table) { return table.chain(hash); },
        decision.current);
    decision.reason = reason_of(decision.current, decision.previous);
    if (decision.reason != route_reason::no_candidate)
    {
        decision.chosen = decision.current.empty() ? decision.previous[0]
                                                   : decision.current[0];
    }
    return decision;
}

} // namespace crowlink
