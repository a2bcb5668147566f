#pragma once

#include "crowlink/base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace crowlink::internal
{

// Limits the rate of bytes: at most `rate` per second on average and `burst` at
// once.
class token_bucket
{
public:
    token_bucket() = default;
    token_bucket(std::uint32_t rate, std::uint32_t burst, time_point now)
        : m_rate(rate), m_burst(burst), m_tokens(burst), m_last(now)
    {
    }

    // The bytes that may be sent now.
    double available(time_point now)
    {
        const std::chrono::duration<double> passed = now - m_last;
        m_last = now;
        m_tokens = std::min(m_burst, m_tokens + passed.count() * m_rate);
        return m_tokens;
    }

    // Keeps the bytes that may be sent now, as far as the new burst allows.
    void set_rate(double rate, double burst, time_point now)
    {
        available(now);
        m_rate = rate;
        m_burst = burst;
        m_tokens = std::min(m_burst, m_tokens);
    }

    void take(std::size_t bytes) { m_tokens -= static_cast<double>(bytes); }

private:
    double m_rate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    time_point m_last{};
};

} // namespace crowlink::internal
