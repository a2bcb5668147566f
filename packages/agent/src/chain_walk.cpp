#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>

namespace crowlink::internal
{

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

bool seen_before(const packet_header& header, std::size_t position)
{
    const candidate& wanted = *candidate_at(header, position);
    for (std::size_t i = 0; i < position; ++i)
    {
        if (*candidate_at(header, i) == wanted)
        {
            return true;
        }
    }
    return false;
}

void add_unseen(packet_header& header, const candidate& next)
{
    const auto holds = [&next](const candidate_chain& chain)
    {
        return std::find(chain.begin(), chain.end(), next) != chain.end();
    };
    if (!holds(header.current) && !holds(header.previous))
    {
        header.previous.push_back(next);
    }
}

void address_to(packet_header& header, const candidate& to)
{
    header.previous = candidate_chain();
    header.previous.push_back(to);
    header.position = static_cast<std::uint8_t>(header.current.size());
}

} // namespace crowlink::internal
