#pragma once

#include "crowlink/base/time.hpp"

#include <optional>

namespace crowlink::internal
{

// How long to wait for an answer before a datagram is taken to be lost: the
// smoothed answer time and four times its mean deviation (RFC 6298, section 2).
class response_time_estimator
{
public:
    void observe(duration response_time);

    // Zero until something was observed.
    duration timeout() const { return m_mean + 4 * m_deviation; }

private:
    bool m_observed = false;
    duration m_mean{};
    duration m_deviation{};
};

} // namespace crowlink::internal
