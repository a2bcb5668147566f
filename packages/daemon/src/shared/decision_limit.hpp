#pragma once

#include "crowlink/base/time.hpp"

#include <cstdint>

namespace crowlink::internal
{

// Lets so many log lines of decisions pass in each second and counts the
// others, so that traffic never waits for building them.
class decision_limit
{
public:
    explicit decision_limit(std::uint32_t lines_per_second)
        : m_most(lines_per_second)
    {
    }

    // Whether a line may be written now.
    bool allows(time_point now)
    {
        if (now - m_window >= std::chrono::seconds(1))
        {
            m_window = now;
            m_written = 0;
        }
        if (m_written >= m_most)
        {
            ++m_omitted;
            return false;
        }
        ++m_written;
        return true;
    }

    // Lines that were left out since this was last asked.
    std::uint64_t take_omitted()
    {
        const std::uint64_t omitted = m_omitted;
        m_omitted = 0;
        return omitted;
    }

private:
    std::uint32_t m_most;
    std::uint32_t m_written = 0;
    std::uint64_t m_omitted = 0;
    time_point m_window{};
};

} // namespace crowlink::internal
