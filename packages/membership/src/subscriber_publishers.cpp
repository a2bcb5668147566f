#include "crowlink/membership/subscriber.hpp"

#include "observer_order.hpp"

#include <utility>

// Which control host a node asks, and when it goes to the next one.

namespace crowlink
{

void subscriber::set_publishers(time_point now,
                                std::vector<observer_info> publishers)
{
    const host_id before = m_order.empty() ? host_id() : source();
    m_settings.publishers = std::move(publishers);
    order_publishers();
    m_source = internal::place_in(m_order, before);
    if (m_order.empty() || source() != before)
    {
        m_behind_since.reset();
        repair(now);
    }
}

void subscriber::order_publishers()
{
    m_order = internal::order_for(m_settings.self.value(), m_settings.region,
                                  m_settings.publishers);
}

const host_id& subscriber::source() const
{
    return m_order[m_source];
}

void subscriber::connection_lost(time_point now, const host_id& publisher)
{
    if (m_order.empty() || publisher != source())
    {
        return;
    }
    if (m_phase == phase::waiting)
    {
        // Nothing was asked yet; the time to ask stays.
        m_source = (m_source + 1) % m_order.size();
        return;
    }
    next_publisher(now);
}

// One that keeps the request serves it as soon as it may. It could be cut off
// from the others, so that the node does not stay for ever.
void subscriber::refused(time_point now, bool kept)
{
    if (kept)
    {
        m_next = now + m_settings.kept_patience;
        return;
    }
    next_publisher(now);
}

void subscriber::next_publisher(time_point now)
{
    m_source = (m_source + 1) % m_order.size();
    m_behind_since.reset();
    repair(now);
}

} // namespace crowlink
