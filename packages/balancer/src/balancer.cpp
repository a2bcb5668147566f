#include "crowlink/balancer/balancer.hpp"

namespace crowlink
{

balancer::balancer() : m_set(forwarding_set::empty()) {}

std::shared_ptr<const forwarding_set>
balancer::handle(time_point /*now*/, const views_changed& event)
{
    auto next = forwarding_set::with_changes(m_set, event.views, event.removed);
    if (next == m_set)
    {
        return nullptr;
    }
    m_set = std::move(next);
    return m_set;
}

} // namespace crowlink
