#include "crowlink/agent/cold_start_limiter.hpp"

#include "crowlink/agent/load_units.hpp"

#include <algorithm>

namespace crowlink::internal
{

bool cold_start_limiter::allows(time_point now) const
{
    if (!is_limiting(now))
    {
        return true;
    }
    return now >= m_history_unknown_until && recent(now) < m_limit;
}

duration cold_start_limiter::wait(time_point now, std::uint64_t ahead) const
{
    if (!is_limiting(now))
    {
        return duration::zero();
    }
    // Each flow makes room for the next one a window later.
    const std::size_t used = recent(now);
    const std::size_t unused = m_limit > used ? m_limit - used : 0;
    time_point at = std::max(now, m_history_unknown_until);
    if (ahead >= unused)
    {
        const std::uint64_t later = ahead - unused;
        const auto rounds = static_cast<duration::rep>(later / m_limit);
        const std::size_t index = later % m_limit;
        const time_point freed =
            index < used ? m_admitted[m_admitted.size() - used + index] : now;
        at = std::max(at, freed + window * (rounds + 1));
    }
    return std::min(at, m_cold_until) - now;
}

void cold_start_limiter::admitted(time_point now)
{
    if (m_limit == 0)
    {
        return;
    }
    m_admitted.push_back(now);
    while (m_admitted.size() > m_limit)
    {
        m_admitted.pop_front();
    }
}

std::uint32_t cold_start_limiter::used(time_point now) const
{
    if (!is_limiting(now))
    {
        return 0;
    }
    if (now < m_history_unknown_until)
    {
        return full_share;
    }
    return static_cast<std::uint32_t>(recent(now) * std::uint64_t{full_share} /
                                      m_limit);
}

std::size_t cold_start_limiter::recent(time_point now) const
{
    const auto first =
        std::upper_bound(m_admitted.begin(), m_admitted.end(), now - window);
    return static_cast<std::size_t>(m_admitted.end() - first);
}

} // namespace crowlink::internal
