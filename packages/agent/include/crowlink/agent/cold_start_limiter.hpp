#pragma once

#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace crowlink::internal
{

// Limits the new flows that a cold upstream gets in any second. The agent
// beside it sees all new flows from all senders, so that the limit is exact: it
// holds for every span of a second, whereas a token bucket's holds only on
// average.
class cold_start_limiter
{
public:
    // The limit for any second while the upstream is cold; 0 sets none.
    void set_limit(std::uint32_t flows) { m_limit = flows; }
    // The upstream is cold until then; a past time when it is warm.
    void set_cold_until(time_point until) { m_cold_until = until; }
    // The flows of the previous second are unknown: none is allowed until a
    // whole window has passed.
    void mark_history_unknown(time_point now)
    {
        m_history_unknown_until = now + window;
    }

    bool allows(time_point now) const;
    // Whether one more flow will be allowed after this time.
    bool allows_within(time_point now, duration time) const
    {
        return allows(now + time);
    }
    // How long until a flow is allowed that `ahead` others precede.
    duration wait(time_point now, std::uint64_t ahead) const;
    void admitted(time_point now);

    // How much of the limit is used, in millionths.
    std::uint32_t used(time_point now) const;

private:
    // Slightly more than the second of the limit, since the delay of flows
    // between here and the upstream varies.
    static constexpr duration window = std::chrono::milliseconds(1050);

    bool is_limiting(time_point now) const
    {
        return m_limit > 0 && now < m_cold_until;
    }
    std::size_t recent(time_point now) const;

    std::uint32_t m_limit = 0;
    time_point m_cold_until{};
    time_point m_history_unknown_until{};
    // The times of the latest flows, oldest first; no more than the limit.
    std::deque<time_point> m_admitted;
};

} // namespace crowlink::internal
