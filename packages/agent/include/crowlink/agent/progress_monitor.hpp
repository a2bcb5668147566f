#pragma once

#include "crowlink/base/time.hpp"

#include <cstdint>

namespace crowlink::internal
{

// Judges an upstream by observed progress instead of by its own reports: how
// far it has warmed up after its start, and whether it stalls with work
// waiting.
//
// The share is a factor of at most one on the upstream's capacity. It rises
// from a tenth as the cold-start time passes and answers arrive, halves for
// each stalled period and doubles with each assessment that finds progress, so
// that a stalled upstream that answers a trial recovers within a few
// assessments.
class progress_monitor
{
public:
    progress_monitor(duration stall_after, time_point started);

    // Skips the warm-up: the upstream had been running before its agent.
    void assume_warm() { m_warm = true; }

    // Records a packet that the upstream may answer.
    void asked() { ++m_asked; }
    // Records an answer or completed work.
    void progressed(time_point now);

    // Assesses the upstream; `working` is whether work is known to be in
    // progress, `cold_start` the service's cold-start time.
    void assess(time_point now, bool working, duration cold_start);

    // In millionths of the full share.
    std::uint32_t share() const;

    // Whether the upstream should take no new flow at all. Becomes true at a
    // quarter of full health, false again at a half.
    bool wants_to_shed() const { return m_shedding; }

private:
    std::uint32_t warmth() const;

    duration m_stall_after;
    time_point m_started;
    time_point m_assessed;
    time_point m_last_progress;
    // Packets since the last answer.
    std::uint64_t m_asked = 0;
    std::uint64_t m_answers = 0;
    std::uint64_t m_answers_assessed = 0;
    duration m_cold_start{};
    time_point m_now;
    bool m_waiting = false;
    bool m_warm = false;
    bool m_shedding = false;
    std::uint32_t m_health;
};

} // namespace crowlink::internal
