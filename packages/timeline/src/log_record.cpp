#include "crowlink/timeline/log_record.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace crowlink
{

namespace
{

// Seconds that still fit into a duration of nanoseconds.
constexpr double most_seconds = 9e9;
constexpr std::string_view event_name = "event";

std::string_view take_word(std::string_view& rest)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(" \t"), rest.size()));
    const std::size_t end = std::min(rest.find_first_of(" \t"), rest.size());
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(end);
    return word;
}

template <class Number>
std::optional<Number> read_number(std::string_view text)
{
    Number value{};
    const char* const end = text.data() + text.size();
    const auto [at, problem] = std::from_chars(text.data(), end, value);
    const bool is_whole = problem == std::errc() && at == end;
    return is_whole && !text.empty() ? std::optional(value) : std::nullopt;
}

std::optional<duration> read_seconds(std::string_view text)
{
    const auto seconds = read_number<double>(text);
    if (!seconds || !(std::abs(*seconds) < most_seconds))
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(*seconds));
}

// As RFC 3339 has it, in UTC: a date, T, a time with parts of a second, Z
std::optional<duration> read_date(std::string_view text)
{
    constexpr std::size_t seconds_at = 17;
    const bool has_form = text.size() > seconds_at + 2 && text[4] == '-' &&
                          text[7] == '-' && text[10] == 'T' &&
                          text[13] == ':' && text[16] == ':' &&
                          text.back() == 'Z';
    if (!has_form)
    {
        return std::nullopt;
    }
    const auto year = read_number<int>(text.substr(0, 4));
    const auto month = read_number<unsigned>(text.substr(5, 2));
    const auto day = read_number<unsigned>(text.substr(8, 2));
    const auto hour = read_number<int>(text.substr(11, 2));
    const auto minute = read_number<int>(text.substr(14, 2));
    const auto second =
        read_seconds(text.substr(seconds_at, text.size() - seconds_at - 1));
    if (!year || !month || !day || !hour || !minute || !second)
    {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(*year),
                                           std::chrono::month(*month),
                                           std::chrono::day(*day)};
    if (!date.ok())
    {
        return std::nullopt;
    }
    return std::chrono::sys_days(date).time_since_epoch() +
           std::chrono::hours(*hour) + std::chrono::minutes(*minute) + *second;
}

// A value up to the next blank; in quotes up to the closing one.
std::string take_value(std::string_view& rest)
{
    if (rest.empty() || rest.front() != '"')
    {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        std::string value(rest.substr(0, end));
        rest.remove_prefix(end);
        return value;
    }
    std::string value;
    std::size_t at = 1;
    while (at < rest.size() && rest[at] != '"')
    {
        at += rest[at] == '\\' && at + 1 < rest.size() ? 1 : 0;
        value.push_back(rest[at]);
        ++at;
    }
    rest.remove_prefix(std::min(at + 1, rest.size()));
    return value;
}

void add(log_record& record, std::string name, std::string value)
{
    if (name == event_name)
    {
        record.event = std::move(value);
        return;
    }
    record.fields.emplace_back(std::move(name), std::move(value));
}

void read_pairs(std::string_view rest, log_record& record)
{
    while (true)
    {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos)
        {
            return;
        }
        std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        add(record, std::move(name), take_value(rest));
    }
}

void read_object(std::string_view rest, log_record& record)
{
    const auto object = nlohmann::json::parse(rest, nullptr, false);
    if (!object.is_object())
    {
        return;
    }
    for (const auto& [name, value] : object.items())
    {
        add(record, name,
            value.is_string() ? value.get<std::string>() : value.dump());
    }
}

} // namespace

std::string_view log_record::field(std::string_view name) const
{
    const auto found =
        std::find_if(fields.begin(), fields.end(),
                     [name](const auto& each) { return each.first == name; });
    return found == fields.end() ? std::string_view()
                                 : std::string_view(found->second);
}

result<log_record> read_log_record(std::string_view line)
{
    std::string_view rest = line;
    const std::string_view time = take_word(rest);
    auto at = read_seconds(time);
    if (!at)
    {
        at = read_date(time);
    }
    if (!at)
    {
        return fail(error_kind::invalid, "time",
                    "must be seconds, or a date and time of UTC");
    }
    log_record record;
    record.at = *at;
    record.source = take_word(rest);
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    if (rest.starts_with('{'))
    {
        read_object(rest, record);
    }
    else
    {
        read_pairs(rest, record);
    }
    if (record.source.empty() || record.event.empty())
    {
        return fail(error_kind::invalid, "event",
                    "must follow the name of a process");
    }
    return record;
}

} // namespace crowlink
