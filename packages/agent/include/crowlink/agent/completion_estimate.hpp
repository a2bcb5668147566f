#pragma once

#include "crowlink/agent/cold_start_limiter.hpp"
#include "crowlink/base/time.hpp"

#include <cstdint>

namespace crowlink::internal
{

// How long it takes until a request that is not at the upstream yet would be
// completed there.
class completion_estimate
{
public:
    // The requests that are at the upstream for each slot: one runs and one
    // covers the round trip of the next handshake.
    static constexpr std::uint32_t window_per_slot = 2;

    // `service_time` is the mean that a request occupies a slot; zero where it
    // is not known, so that only the cold-start limit counts.
    completion_estimate(time_point now, const cold_start_limiter& cold,
                        std::uint64_t running, std::uint32_t slots,
                        duration service_time)
        : m_now(now)
        , m_cold(cold)
        , m_running(running)
        , m_slots(slots > 0 ? slots : 1)
        , m_service_time(service_time)
    {
    }

    // With `ahead` other requests that will start before it.
    duration with_ahead(std::uint64_t ahead) const;
    // Until the upstream has room for it.
    duration until_start(std::uint64_t ahead) const;

private:
    time_point m_now;
    const cold_start_limiter& m_cold;
    std::uint64_t m_running;
    std::uint32_t m_slots;
    duration m_service_time;
};

} // namespace crowlink::internal
