#pragma once

#include "crowlink/base/time.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace crowlink::internal
{

// Openings that were delivered to the upstream and whose requests have not come
// yet: each is about to take a slot.
class recent_openings
{
public:
    void opened(time_point now)
    {
        while (!m_opened.empty() && has_expired(now, m_opened.front()))
        {
            m_opened.pop_front();
        }
        m_opened.push_back(now);
    }
    // The request of one of them has come.
    void request_came()
    {
        if (!m_opened.empty())
        {
            m_opened.pop_front();
        }
    }

    std::size_t count(time_point now) const
    {
        const auto first = std::find_if(m_opened.begin(), m_opened.end(),
                                        [now](time_point each)
                                        { return !has_expired(now, each); });
        return static_cast<std::size_t>(m_opened.end() - first);
    }

private:
    // A request comes a round trip after its opening, within 10 ms. One whose
    // data takes longer, such as a large body on a slow link, must not keep
    // others from the slots that it does not use yet.
    static constexpr duration lifetime = std::chrono::milliseconds(100);

    static bool has_expired(time_point now, time_point opened)
    {
        return now - opened >= lifetime;
    }

    std::deque<time_point> m_opened;
};

} // namespace crowlink::internal
