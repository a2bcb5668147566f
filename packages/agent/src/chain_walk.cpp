#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>
#include <optional>

namespace crowlink::internal
{

bool may_open(packet_role role)
{
    return role == packet_role::any || role == packet_role::opens;
}

const candidate* candidate_at(const packet_header& header, std::size_t position)
{
    const std::size_t in_current = header.current.size();
    if (position < in_current)
    {
        return &header.current[position];
    }
    if (position - in_current < header.previous.size())
    {
        return &header.previous[position - in_current];
    }
    return nullptr;
}

std::size_t position_of(const packet_header& header, const candidate& wanted)
{
    const std::size_t count = header.current.size() + header.previous.size();
    std::size_t position = 0;
    while (position < count && *candidate_at(header, position) != wanted)
    {
        ++position;
    }
    return position;
}

void remove_duplicates(packet_header& header)
{
    const candidate_chain listed = header.previous;
    header.previous = candidate_chain();
    for (const candidate& next : listed)
    {
        add_if_absent(header, next);
    }
}

void add_if_absent(packet_header& header, const candidate& next)
{
    const std::size_t count = header.current.size() + header.previous.size();
    if (position_of(header, next) == count)
    {
        header.previous.push_back(next);
    }
}

void add_on_walk(packet_header& header, const candidate& next)
{
    add_if_absent(header, next);
    const std::size_t count = header.current.size() + header.previous.size();
    if (position_of(header, next) < count)
    {
        return;
    }
    const std::uint64_t hash = stable_hash(header.flow);
    const bool has_started = header.pass == packet_pass::walk;
    const std::uint64_t here =
        has_started ? walk_order(hash, *candidate_at(header, header.position))
                    : 0;
    candidate_chain kept;
    bool replaced = false;
    for (std::size_t i = 0; i < header.previous.size(); ++i)
    {
        const candidate& old = header.previous[i];
        const bool is_needed = walk_order(hash, old) > here ||
                               header.current.size() + i == header.best;
        const bool replace = !replaced && !is_needed;
        kept.push_back(replace ? next : old);
        replaced = replaced || replace;
    }
    header.previous = kept;
}

void address_to(packet_header& header, const candidate& to)
{
    const std::size_t count = header.current.size() + header.previous.size();
    const std::size_t found = position_of(header, to);
    if (found < count)
    {
        header.position = static_cast<std::uint8_t>(found);
        return;
    }
    candidate_chain chain;
    for (const candidate& next : header.current)
    {
        if (chain.size() + 1 < candidate_chain::capacity)
        {
            chain.push_back(next);
        }
    }
    header.position = static_cast<std::uint8_t>(chain.size());
    chain.push_back(to);
    header.current = chain;
    header.best = packet_header::no_position;
}

void address_lookup_to(packet_header& header, const candidate& to)
{
    header.pass = packet_pass::lookup;
    header.best = packet_header::no_position;
    header.previous = candidate_chain();
    header.previous.push_back(to);
    header.position = static_cast<std::uint8_t>(header.current.size());
}

void set_first_candidate(packet_header& header, const candidate& first)
{
    const candidate_chain rest = header.current;
    set_only_candidate(header, first);
    for (const candidate& next : rest)
    {
        if (next != first)
        {
            header.current.push_back(next);
        }
    }
}

void set_only_candidate(packet_header& header, const candidate& only)
{
    header.current = candidate_chain();
    header.current.push_back(only);
    header.position = 0;
    header.best = packet_header::no_position;
}

bool replace_former_incarnation(packet_header& header, const candidate& present)
{
    const candidate* found = candidate_at(header, header.position);
    if (found == nullptr || found->agent != present.agent)
    {
        return false;
    }
    const candidate* const best = header.best == packet_header::no_position
                                      ? nullptr
                                      : candidate_at(header, header.best);
    const std::optional<candidate> best_kept =
        best == nullptr ? std::nullopt : std::optional(*best);
    const auto renewed = [&present](const candidate_chain& chain)
    {
        candidate_chain out;
        for (const candidate& each : chain)
        {
            const candidate next = each.agent == present.agent ? present : each;
            if (std::find(out.begin(), out.end(), next) == out.end())
            {
                out.push_back(next);
            }
        }
        return out;
    };
    header.current = renewed(header.current);
    header.previous = renewed(header.previous);
    header.position = static_cast<std::uint8_t>(position_of(header, present));
    header.best = packet_header::no_position;
    if (best_kept && best_kept->agent != present.agent)
    {
        header.best =
            static_cast<std::uint8_t>(position_of(header, *best_kept));
    }
    return true;
}

std::uint64_t walk_order(std::uint64_t flow_hash, const candidate& agent)
{
    return combine_hash(flow_hash, agent.tag);
}

} // namespace crowlink::internal
