#include "crowlink/agent/progress_monitor.hpp"

#include "crowlink/agent/load_units.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

constexpr std::uint32_t least_health = full_share / 16;
constexpr std::uint32_t enter_shedding = full_share / 4;
constexpr std::uint32_t leave_shedding = full_share / 2;
constexpr std::uint32_t least_warmth = full_share / 10;
// This many answers prove an upstream warm.
constexpr std::uint64_t warm_answers = 32;
// This many packets without any answer show that answers are missing; fewer may
// be datagrams that need none.
constexpr std::uint64_t min_unanswered = 4;

} // namespace

progress_monitor::progress_monitor(duration stall_after, time_point started)
    : m_stall_after(stall_after)
    , m_started(started)
    , m_assessed(started)
    , m_last_progress(started)
    , m_now(started)
    , m_health(full_share)
{
}

void progress_monitor::progressed(time_point now)
{
    ++m_answers;
    m_asked = 0;
    m_last_progress = now;
}

void progress_monitor::assess(time_point now, bool working, duration cold_start)
{
    m_now = now;
    m_cold_start = cold_start;
    const bool waiting = working || m_asked >= min_unanswered;
    if (waiting && !m_waiting)
    {
        // Work that has just arrived has not been waiting for long.
        m_last_progress = std::max(m_last_progress, now);
    }
    m_waiting = waiting;
    const bool progress = m_answers != m_answers_assessed;
    m_answers_assessed = m_answers;
    if (progress)
    {
        m_health = std::min(full_share, m_health * 2);
        m_assessed = now;
    }
    else if (waiting && m_answers > 0 &&
             now - std::max(m_last_progress, m_assessed) >= m_stall_after)
    {
        m_health = std::max(least_health, m_health / 2);
        m_assessed = now;
    }
    const std::uint32_t limit = m_shedding ? leave_shedding : enter_shedding;
    m_shedding = m_shedding ? m_health < limit : m_health <= limit;
}

std::uint32_t progress_monitor::share() const
{
    const auto product = static_cast<std::uint64_t>(warmth()) * m_health;
    return static_cast<std::uint32_t>(product / full_share);
}

std::uint32_t progress_monitor::warmth() const
{
    if (m_warm || m_cold_start <= duration::zero())
    {
        return full_share;
    }
    const duration age = m_now - m_started;
    // An upstream that got no request has had no chance to prove itself.
    const bool proven =
        m_answers >= warm_answers || (!m_waiting && age >= 3 * m_cold_start);
    if (proven && age >= m_cold_start)
    {
        return full_share;
    }
    const double by_time =
        std::min(1.0, static_cast<double>(age.count()) /
                          static_cast<double>(m_cold_start.count()));
    const double by_answers =
        std::min(1.0, static_cast<double>(m_answers) /
                          static_cast<double>(warm_answers));
    const double warm = std::min(by_time, by_answers);
    return least_warmth +
           static_cast<std::uint32_t>(warm * (full_share - least_warmth));
}

} // namespace crowlink::internal
