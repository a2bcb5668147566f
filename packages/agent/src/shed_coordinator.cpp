#include "crowlink/agent/shed_coordinator.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t share_of_upstreams = 3;

} // namespace

void shed_coordinator::set_coordinator(time_point now, bool is_coordinator)
{
    if (is_coordinator && !m_is_coordinator)
    {
        m_holders.clear();
        // The previous coordinator may learn of the change later by up to the
        // lifetime of a grant, and its last grant lasts as long again.
        m_grants_from = now + 2 * m_lifetime;
    }
    m_is_coordinator = is_coordinator;
}

bool shed_coordinator::grant(time_point now, upstream_tag asker,
                             std::size_t upstreams)
{
    if (!m_is_coordinator || now < m_grants_from)
    {
        return false;
    }
    m_holders.erase(std::remove_if(m_holders.begin(), m_holders.end(),
                                   [now](const holder& held)
                                   { return held.until <= now; }),
                    m_holders.end());
    const auto found =
        std::find_if(m_holders.begin(), m_holders.end(),
                     [asker](const holder& held) { return held.tag == asker; });
    if (found != m_holders.end())
    {
        found->until = now + m_lifetime;
        return true;
    }
    if (m_holders.size() >= upstreams / share_of_upstreams)
    {
        return false;
    }
    m_holders.push_back(holder{asker, now + m_lifetime});
    return true;
}

} // namespace crowlink::internal
