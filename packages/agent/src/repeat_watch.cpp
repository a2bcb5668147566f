#include "crowlink/agent/repeat_watch.hpp"

namespace crowlink::internal
{

bool repeat_watch::sent(time_point now, const flow_key& flow)
{
    const auto known = m_first.find(flow);
    if (known != m_first.end())
    {
        return now - known->second >= repeat_after;
    }
    if (m_first.size() < most_flows)
    {
        m_first.emplace(flow, now);
    }
    return false;
}

void repeat_watch::expire(time_point now)
{
    std::erase_if(m_first, [now](const auto& each)
                  { return now - each.second >= lifetime; });
}

} // namespace crowlink::internal
