#include "crowlink/agent/retransmission_detector.hpp"

namespace crowlink::internal
{

bool retransmission_detector::note_data(time_point now, const flow_key& flow,
                                        std::uint32_t sequence)
{
    const auto known = m_unacknowledged.find(flow);
    if (known == m_unacknowledged.end())
    {
        if (m_unacknowledged.size() < max_flows)
        {
            m_unacknowledged.emplace(flow, unanswered{now, sequence});
        }
        return false;
    }
    // Sequences wrap around: the sign of the difference gives the order.
    const auto ahead =
        static_cast<std::int32_t>(sequence - known->second.sequence);
    const bool advances = ahead > 0;
    const bool is_old = now - known->second.sent >= retransmit_after;
    if (advances && is_old)
    {
        known->second = unanswered{now, sequence};
        return false;
    }
    return is_old;
}

void retransmission_detector::expire(time_point now)
{
    std::erase_if(m_unacknowledged, [now](const auto& each)
                  { return now - each.second.sent >= lifetime; });
}

} // namespace crowlink::internal
