#include "crowlink/balancer/link_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace crowlink
{

namespace
{

using seconds = std::chrono::duration<double>;

} // namespace

link_pacer::link_pacer(double bytes_per_second, duration depth)
    : m_rate(bytes_per_second)
    , m_depth(bytes_per_second * seconds(depth).count())
    , m_balance(m_depth)
{
}

void link_pacer::refill(time_point now, bool is_waiting)
{
    if (now <= m_last)
    {
        return;
    }
    const double accrued = m_rate * seconds(now - m_last).count();
    const double most = is_waiting ? std::max(m_depth, accrued / 2.0) : m_depth;
    m_balance = std::min(m_balance + accrued, most);
    m_last = now;
}

time_point link_pacer::opens_at() const
{
    if (is_open())
    {
        return m_last;
    }
    constexpr double nanoseconds = 1e9;
    const double missing = std::floor(-m_balance / m_rate * nanoseconds) + 1.0;
    return m_last + duration(static_cast<duration::rep>(missing));
}

} // namespace crowlink
