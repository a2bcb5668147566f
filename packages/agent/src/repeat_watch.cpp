#include "crowlink/agent/repeat_watch.hpp"

namespace crowlink::internal
{

bool repeat_watch::sent(time_point now, const flow_key& flow,
                        std::uint32_t sequence)
{
    const auto known = m_first.find(flow);
    if (known == m_first.end())
    {
        if (m_first.size() < most_flows)
        {
            m_first.emplace(flow, unanswered{now, sequence});
        }
        return false;
    }
    // Sequences wrap around: the sign of the difference gives the order.
    const auto ahead =
        static_cast<std::int32_t>(sequence - known->second.sequence);
    const bool goes_on = ahead > 0;
    const bool is_old = now - known->second.sent >= repeat_after;
    if (goes_on && is_old)
    {
        known->second = unanswered{now, sequence};
        return false;
    }
    return is_old;
}

void repeat_watch::expire(time_point now)
{
    std::erase_if(m_first, [now](const auto& each)
                  { return now - each.second.sent >= lifetime; });
}

} // namespace crowlink::internal
