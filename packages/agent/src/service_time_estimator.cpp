#include "crowlink/agent/service_time_estimator.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// The number of completions after which old evidence counts 1/e. With a
// coefficient of variation of 0.65, as for a mix of commands and uploads, the
// standard error of the mean is 8%.
constexpr double remembered_completions = 32;
// Reached with 8 completions, whose decayed sum is 6.96.
constexpr double min_completions = 6.9;
// An upstream that was slow gets few requests, so that only forgetting lets it
// show that it has recovered. All evidence goes at once: with a decay over 10 s
// an upstream got nothing for 6 s after a stall, since each new request counted
// little against the old ones.
constexpr duration forget_after = std::chrono::seconds(5);
// Bounds the growth during a stall, so that the estimate recovers within about
// 100 completions however long the stall was. Twice the greatest relative time.
constexpr double max_growth_between_completions = 16;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void service_time_estimator::set_slots(std::uint32_t slots)
{
    m_slots = std::max(slots, 1U);
}

service_time_estimator::evidence
service_time_estimator::at(time_point now) const
{
    evidence sums = m_evidence;
    const double passed = std::max(0.0, to_seconds(now - m_updated));
    if (m_running == 0)
    {
        return now - m_idle_since >= forget_after ? evidence() : sums;
    }
    const auto busy_slots =
        static_cast<double>(std::min<std::uint64_t>(m_running, m_slots));
    sums.busy_seconds += passed * busy_slots;
    if (sums.busy_at_completion > 0)
    {
        sums.busy_seconds =
            std::min(sums.busy_seconds,
                     sums.busy_at_completion * max_growth_between_completions);
    }
    return sums;
}

void service_time_estimator::note_running(time_point now, std::uint64_t running)
{
    m_evidence = at(now);
    m_updated = std::max(m_updated, now);
    if (running == 0 && m_running > 0)
    {
        m_idle_since = now;
    }
    m_running = running;
}

void service_time_estimator::note_completed(time_point now)
{
    constexpr double kept = 1 - 1 / remembered_completions;
    m_evidence = at(now);
    m_updated = std::max(m_updated, now);
    m_evidence.busy_seconds *= kept;
    m_evidence.completions = (m_evidence.completions + 1) * kept;
    m_evidence.busy_at_completion = m_evidence.busy_seconds;
}

std::optional<duration> service_time_estimator::mean(time_point now) const
{
    const evidence sums = at(now);
    if (sums.completions < min_completions || sums.busy_seconds <= 0)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(sums.busy_seconds / sums.completions));
}

} // namespace crowlink::internal
