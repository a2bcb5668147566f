#include "crowlink/base/log_sink.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crowlink
{

namespace
{

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

std::string json_string(std::string_view value)
{
    using nlohmann::json;
    const auto replace = json::error_handler_t::replace;
    return json(value).dump(-1, ' ', false, replace);
}

} // namespace

std::string_view to_string(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::string log_line::render(log_format format) const
{
    const bool json = format == log_format::json;
    std::string text =
        json ? fmt::format(R"({{"level":"{}","event":{})", to_string(m_level),
                           json_string(m_event))
             : fmt::format("level={} event={}", to_string(m_level), m_event);
    for (const auto& [key, value] : m_fields)
    {
        if (json)
        {
            text += fmt::format(",{}:{}", json_string(key), json_string(value));
            continue;
        }
        text += fmt::format(" {}={}", key,
                            needs_quotes(value) ? json_string(value) : value);
    }
    return json ? text + "}" : text;
}

log_sink::log_sink(std::FILE* stream, log_format format, log_level least,
                   std::size_t capacity)
    : m_stream(stream)
    , m_format(format)
    , m_least(least)
    , m_capacity(capacity)
    , m_writer([this] { run(); })
{
}

log_sink::~log_sink()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_writer.join();
}

void log_sink::write(const log_line& line)
{
    if (!enabled(line.level()))
    {
        return;
    }
    std::string text = line.render(m_format);
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_capacity)
        {
            m_dropped.fetch_add(1);
            return;
        }
        m_queue.push_back(std::move(text));
    }
    m_wake.notify_one();
}

void log_sink::run()
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        std::deque<std::string> batch;
        batch.swap(m_queue);
        const bool stopping = m_stopping;
        lock.unlock();
        report_dropped();
        for (const std::string& text : batch)
        {
            put(text);
        }
        std::fflush(m_stream);
        lock.lock();
        if (stopping && m_queue.empty())
        {
            break;
        }
    }
    lock.unlock();
    report_dropped();
    std::fflush(m_stream);
}

void log_sink::put(const std::string& text)
{
    fmt::print(m_stream, "{}\n", text);
}

void log_sink::report_dropped()
{
    const std::uint64_t total = m_dropped.load();
    if (total == m_reported)
    {
        return;
    }
    put(log_line(log_level::warning, "log_dropped")
            .field("lines", total - m_reported)
            .render(m_format));
    m_reported = total;
}

} // namespace crowlink
