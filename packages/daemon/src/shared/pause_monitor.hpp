#pragma once

#include "crowlink/base/log_sink.hpp"
#include "crowlink/base/time.hpp"

#include <string_view>

namespace crowlink::internal
{

// Logs when a thread that wakes several times a second did not run for long,
// since others may have taken its silence for a failure. At most one line for
// each pause, so that the volume is bounded by the pauses' length.
class pause_monitor
{
public:
    // Longer than any usual delay of a busy host, and shorter than what others
    // take for a failure.
    static constexpr duration reported_pause = std::chrono::milliseconds(250);

    pause_monitor(log_sink& log, std::string_view thread)
        : m_log(log), m_thread(thread)
    {
    }

    // Must be called each time the thread wakes.
    void woke(time_point now)
    {
        const duration paused = now - m_last;
        const bool has_woken_before = m_last != time_point();
        m_last = now;
        if (!has_woken_before || paused < reported_pause)
        {
            return;
        }
        const auto length =
            std::chrono::duration_cast<std::chrono::milliseconds>(paused);
        m_log.write(log_line(log_level::warning, "thread_paused")
                        .field("thread", m_thread)
                        .field("paused_ms", length.count()));
    }

private:
    log_sink& m_log;
    std::string_view m_thread;
    time_point m_last{};
};

} // namespace crowlink::internal
