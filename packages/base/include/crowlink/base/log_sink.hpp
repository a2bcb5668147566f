#pragma once

#include "crowlink/base/log_line.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>

namespace crowlink
{

// Writes log lines to a stream from a thread of its own, through a bounded
// queue. A full queue drops the new line and counts it; the next line that is
// written is preceded by one that says how many were dropped. No caller ever
// waits for the stream.
class log_sink
{
public:
    static constexpr std::size_t default_capacity = 8192;

    log_sink(std::FILE* stream, log_format format, log_level least,
             std::size_t capacity = default_capacity);
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;
    // Writes what is queued, then stops.
    ~log_sink();

    // Whether a line of this level would be written; check it before building
    // an expensive line.
    bool enabled(log_level level) const { return level >= m_least; }

    // Queues a line, or counts it as dropped.
    void write(const log_line& line);

    std::uint64_t dropped() const { return m_dropped.load(); }

private:
    void run();
    void put(const std::string& text);
    void report_dropped();

    std::FILE* m_stream;
    log_format m_format;
    log_level m_least;
    std::size_t m_capacity;
    std::atomic<std::uint64_t> m_dropped{0};
    std::uint64_t m_reported = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::string> m_queue;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace crowlink
