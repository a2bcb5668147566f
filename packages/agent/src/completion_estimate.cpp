#include "crowlink/agent/completion_estimate.hpp"

#include <algorithm>

namespace crowlink::internal
{

duration completion_estimate::with_ahead(std::uint64_t ahead) const
{
    const auto position = static_cast<duration::rep>(m_running + ahead + 1);
    const duration by_work =
        std::max(m_service_time, m_service_time * position /
                                     static_cast<duration::rep>(m_slots));
    return std::max(by_work, m_cold.wait(m_now, ahead) + m_service_time);
}

duration completion_estimate::until_start(std::uint64_t ahead) const
{
    const duration at_upstream = m_service_time * window_per_slot;
    return std::max(with_ahead(ahead) - at_upstream, duration::zero());
}

} // namespace crowlink::internal
