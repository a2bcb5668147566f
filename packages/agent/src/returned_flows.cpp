#include "crowlink/agent/returned_flows.hpp"

namespace crowlink::internal
{

void returned_flows::add(time_point now, const flow_key& flow)
{
    if (m_until.size() < max_flows)
    {
        m_until[flow] = now + lifetime;
    }
}

void returned_flows::expire(time_point now)
{
    std::erase_if(m_until,
                  [now](const auto& each) { return each.second <= now; });
}

} // namespace crowlink::internal
