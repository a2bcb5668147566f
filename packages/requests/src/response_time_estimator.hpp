#pragma once

#include "crowlink/base/time.hpp"

#include <optional>

namespace crowlink::internal
{

// Estimates the time after which an unanswered datagram is considered lost: the
// smoothed response time plus four times its mean deviation (RFC 6298,
// section 2).
class response_time_estimator
{
public:
    void observe(duration response_time);

    // Zero before the first observation.
    duration timeout() const { return m_mean + 4 * m_deviation; }

private:
    bool m_observed = false;
    duration m_mean{};
    duration m_deviation{};
};

} // namespace crowlink::internal
