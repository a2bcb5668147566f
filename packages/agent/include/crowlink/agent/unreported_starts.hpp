#pragma once

#include "crowlink/base/time.hpp"

#include <cstddef>
#include <deque>

namespace crowlink::internal
{

// Openings that were delivered to the upstream and are not yet counted in the
// work that is reported of it, so that several openings of one round do not all
// find the same room.
class unreported_starts
{
public:
    void opened(time_point now) { m_opened.push_back(now); }
    void reported()
    {
        if (!m_opened.empty())
        {
            m_opened.pop_front();
        }
    }

    std::size_t count(time_point now)
    {
        while (!m_opened.empty() && now - m_opened.front() >= lifetime)
        {
            m_opened.pop_front();
        }
        return m_opened.size();
    }

private:
    // Work is reported in the round of its delivery. A delivery that causes
    // none, for example of a malformed packet, must not count forever.
    static constexpr duration lifetime = std::chrono::milliseconds(200);

    std::deque<time_point> m_opened;
};

} // namespace crowlink::internal
