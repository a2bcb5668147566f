#include "answer_time.hpp"

namespace crowlink::internal
{

namespace
{

// The weights of a new observation are one in these many.
constexpr int mean_smoothing = 8;
constexpr int deviation_smoothing = 4;

} // namespace

void answer_time::observe(duration took)
{
    if (!m_observed)
    {
        m_observed = true;
        m_mean = took;
        m_deviation = took / 2;
        return;
    }
    const duration off = std::chrono::abs(took - m_mean);
    m_deviation += (off - m_deviation) / deviation_smoothing;
    m_mean += (took - m_mean) / mean_smoothing;
}

} // namespace crowlink::internal
