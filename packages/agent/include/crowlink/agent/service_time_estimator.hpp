#pragma once

#include "crowlink/base/time.hpp"

#include <cstdint>
#include <optional>

namespace crowlink::internal
{

// Estimates how long one request occupies a slot of the upstream: busy slot
// time divided by completions (utilisation law). It needs no start time per
// request, and holds with idle slots as well as with a queue at the upstream.
//
// Both sums decay with each completion, so that the estimate always rests on
// about the same number of requests, whatever their rate. Without completions
// the busy time keeps growing, so that the mean rises during a stall. Once the
// upstream has been idle for 5 s the mean is unknown again.
class service_time_estimator
{
public:
    void set_slots(std::uint32_t slots);
    // The number of requests at the upstream has changed.
    void note_running(time_point now, std::uint64_t running);
    void note_completed(time_point now);
    // Empty before there is enough evidence.
    std::optional<duration> mean(time_point now) const;

private:
    // Decaying sums. The busy time is bounded during a stall.
    struct evidence
    {
        double busy_seconds = 0;
        double completions = 0;
        // The value of `busy_seconds` at the latest completion.
        double busy_at_completion = 0;
    };

    evidence at(time_point now) const;

    std::uint32_t m_slots = 1;
    std::uint64_t m_running = 0;
    time_point m_updated{};
    time_point m_idle_since{};
    evidence m_evidence;
};

} // namespace crowlink::internal
