#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crowlink
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

std::string_view to_string(log_level level);

enum class log_format : std::uint8_t
{
    // event=route flow="..." chosen=u1
    key_value,
    // {"event":"route","flow":"...","chosen":"u1"}
    json,
};

// One structured log line: an event name and its fields in order.
//
//   log_line(log_level::info, "route").field("chosen", name).field("epoch", 7)
class log_line
{
public:
    log_line(log_level level, std::string_view event)
        : m_level(level), m_event(event)
    {
    }

    // Adds one field; any type that fmt can format.
    template <class Value>
    log_line&& field(std::string_view key, const Value& value) &&
    {
        return std::move(field(key, value));
    }

    template <class Value>
    log_line& field(std::string_view key, const Value& value) &
    {
        m_fields.emplace_back(std::string(key), fmt::format("{}", value));
        return *this;
    }

    log_level level() const { return m_level; }

    // The line without a newline; values are quoted where they must be.
    std::string render(log_format format) const;

private:
    log_level m_level;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields;
};

} // namespace crowlink
