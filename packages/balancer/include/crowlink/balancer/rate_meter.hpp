#pragma once

#include "crowlink/base/time.hpp"

#include <cstddef>

namespace crowlink
{

// The mean rate of bytes over the last full interval of half a second.
class rate_meter
{
public:
    static constexpr duration interval = std::chrono::milliseconds(500);

    void add(time_point now, std::size_t size)
    {
        advance(now);
        m_bytes += static_cast<double>(size);
    }

    double bytes_per_second(time_point now)
    {
        advance(now);
        return m_rate;
    }

private:
    void advance(time_point now)
    {
        const duration passed = now - m_start;
        if (passed < interval)
        {
            return;
        }
        m_rate = m_bytes / std::chrono::duration<double>(passed).count();
        m_bytes = 0.0;
        m_start = now;
    }

    time_point m_start{};
    double m_bytes = 0.0;
    double m_rate = 0.0;
};

} // namespace crowlink
