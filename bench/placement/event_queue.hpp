#pragma once

#include "crowlink/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace crowlink::placement
{

// The clock and what is still to happen. Events of one moment happen in the
// order in which they were added, so that a run repeats.
class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const { return m_now; }

    void after(duration delay, action what)
    {
        m_events.push({m_now + delay, m_next++, std::move(what)});
    }

    // Runs every event up to this moment and moves the clock there.
    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end)
        {
            // top() is const, yet the event is popped at once.
            auto& first = const_cast<event&>(m_events.top());
            m_now = first.when;
            const action what = std::move(first.what);
            m_events.pop();
            what();
        }
        m_now = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        action what;

        friend bool operator<(const event& first, const event& second)
        {
            return first.when != second.when ? first.when > second.when
                                             : first.order > second.order;
        }
    };

    time_point m_now{};
    std::uint64_t m_next = 0;
    std::priority_queue<event> m_events;
};

} // namespace crowlink::placement
