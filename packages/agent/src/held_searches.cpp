#include "crowlink/agent/held_searches.hpp"

#include <utility>

namespace crowlink::internal
{

void held_searches::hold(const packet_header& header, payload_view payload)
{
    if (m_held.size() >= most_held && m_held.count(header.flow) == 0)
    {
        return;
    }
    m_held[header.flow] = held_search{header, {payload.begin(), payload.end()}};
}

std::optional<held_search> held_searches::take()
{
    if (m_held.empty())
    {
        return std::nullopt;
    }
    held_search next = std::move(m_held.begin()->second);
    m_held.erase(m_held.begin());
    return next;
}

} // namespace crowlink::internal
