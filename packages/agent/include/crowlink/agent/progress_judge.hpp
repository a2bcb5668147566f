#pragma once

#include "crowlink/base/time.hpp"

#include <cstdint>

namespace crowlink::internal
{

// Judges an upstream by what it does, not by what it says of itself: how warm
// it is after its start, and whether it stalls with work waiting.
//
// The share is a factor of at most one on what the upstream can take. It rises
// from a tenth as the cold-start time passes and answers are seen, halves for
// each stalled time and doubles with each time of progress, so that a stalled
// upstream that answers a trial is back within a few assessments.
class progress_judge
{
public:
    progress_judge(duration stall_after, time_point started);

    // A stranger to warmth: the upstream had been running before its agent.
    void assume_warm() { m_warm = true; }

    // Something was asked of the upstream that it may answer.
    void asked() { ++m_asked; }
    // Something was answered or completed.
    void progressed(time_point now);

    // Judges; `working` is whether work is known to be in progress,
    // `cold_start` the service's.
    void assess(time_point now, bool working, duration cold_start);

    // In millionths of the full share.
    std::uint32_t share() const;

    // Whether the upstream should take no new flow at all. Entered at a
    // quarter of the share, left at a half.
    bool wants_to_shed() const { return m_shedding; }

private:
    std::uint32_t warmth() const;

    duration m_stall_after;
    time_point m_started;
    time_point m_judged;
    time_point m_last_progress;
    // Since the last answer.
    std::uint64_t m_asked = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_answers_judged = 0;
    duration m_cold_start{};
    time_point m_now;
    bool m_waiting = false;
    bool m_warm = false;
    bool m_shedding = false;
    std::uint32_t m_health;
};

} // namespace crowlink::internal
