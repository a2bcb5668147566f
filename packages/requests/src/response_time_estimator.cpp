#include "response_time_estimator.hpp"

namespace crowlink::internal
{

namespace
{

// Reciprocals of the weights of a new observation.
constexpr int mean_smoothing = 8;
constexpr int deviation_smoothing = 4;

} // namespace

void response_time_estimator::observe(duration response_time)
{
    if (!m_observed)
    {
        m_observed = true;
        m_mean = response_time;
        m_deviation = response_time / 2;
        return;
    }
    const duration deviation = std::chrono::abs(response_time - m_mean);
    m_deviation += (deviation - m_deviation) / deviation_smoothing;
    m_mean += (response_time - m_mean) / mean_smoothing;
}

} // namespace crowlink::internal
