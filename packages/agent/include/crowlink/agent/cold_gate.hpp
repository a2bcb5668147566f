#pragma once

#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace crowlink::internal
{

// Bounds the new flows that a cold upstream gets in any second. The agent
// beside it sees all of them, whoever sends them, so that the bound is exact:
// it holds for every span of a second, and not only on the average, as that of
// a token bucket would.
class cold_gate
{
public:
    // In any second while the upstream is cold; 0 sets no bound.
    void set_limit(std::uint32_t flows) { m_limit = flows; }
    // The upstream is cold until then; a past time where it is warm.
    void set_cold_until(time_point until) { m_cold_until = until; }
    // Nothing is known of the second before: no flow until it has passed.
    void forget(time_point now) { m_blind_until = now + window; }

    bool allows(time_point now) const;
    // Whether it allows one more flow within this time.
    bool allows_within(time_point now, duration time) const
    {
        return allows(now + time);
    }
    void admitted(time_point now);

    // How much of the bound is used, in millionths.
    std::uint32_t used(time_point now) const;

private:
    // A little more than the second that the bound speaks of, since flows take
    // a moment from here to the upstream.
    static constexpr duration window = std::chrono::milliseconds(1050);

    bool is_bounding(time_point now) const
    {
        return m_limit > 0 && now < m_cold_until;
    }
    std::size_t recent(time_point now) const;

    std::uint32_t m_limit = 0;
    time_point m_cold_until{};
    time_point m_blind_until{};
    // When the latest flows came, oldest first; as many as the bound at most.
    std::deque<time_point> m_admitted;
};

} // namespace crowlink::internal
