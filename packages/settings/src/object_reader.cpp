#include "object_reader.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

constexpr std::size_t longest_quote = 60;
constexpr std::string_view an_endpoint =
    "an address and port such as \"192.0.2.1:80\" or \"[2001:db8::1]:80\"";

bool is_number_between(const json& value, std::uint32_t least,
                       std::uint32_t most)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() >= least &&
           value.get<std::uint64_t>() <= most;
}

endpoint refused_address()
{
    return endpoint{*ip_address::parse("127.0.0.1"), 0};
}

// What was found, shortened so that one error stays one line.
std::string quote(const json& found)
{
    std::string text =
        found.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > longest_quote)
    {
        text.resize(longest_quote);
        text += "...";
    }
    return text;
}

bool is_filled_text(const json& value)
{
    return value.is_string() && !value.get_ref<const std::string&>().empty();
}

} // namespace

object_reader::object_reader(const json& value, std::string file,
                             std::string path, std::vector<error>& errors)
    : m_value(value)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_errors(errors)
    , m_is_object(value.is_object())
{
    if (!m_is_object)
    {
        report_at(m_path.empty() ? "/" : m_path, value, "an object");
    }
}

std::string object_reader::text(std::string_view name)
{
    const json* found = find(name);
    if (found == nullptr)
    {
        missing(name, "a text");
        return {};
    }
    if (!is_filled_text(*found))
    {
        report(name, *found, "a text that is not empty");
        return {};
    }
    return found->get<std::string>();
}

std::string object_reader::optional_text(std::string_view name)
{
    return find(name) == nullptr ? std::string() : text(name);
}

bool object_reader::flag(std::string_view name, bool otherwise)
{
    const json* found = find(name);
    if (found == nullptr)
    {
        return otherwise;
    }
    if (!found->is_boolean())
    {
        report(name, *found, "true or false");
        return otherwise;
    }
    return found->get<bool>();
}

std::uint32_t object_reader::number(std::string_view name, std::uint32_t least,
                                    std::uint32_t most)
{
    if (find(name) == nullptr)
    {
        missing(name, fmt::format("a whole number, {} to {}", least, most));
        return least;
    }
    return number(name, least, most, least);
}

std::uint32_t object_reader::number(std::string_view name, std::uint32_t least,
                                    std::uint32_t most, std::uint32_t otherwise)
{
    const json* found = find(name);
    if (found == nullptr)
    {
        return otherwise;
    }
    if (!is_number_between(*found, least, most))
    {
        report(name, *found,
               fmt::format("a whole number, {} to {}", least, most));
        return otherwise;
    }
    return found->get<std::uint32_t>();
}

std::optional<double> object_reader::optional_decimal(std::string_view name,
                                                      double least, double most)
{
    const json* found = find(name);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    if (!found->is_number() || found->get<double>() < least ||
        found->get<double>() > most)
    {
        report(name, *found, fmt::format("a number, {} to {}", least, most));
        return std::nullopt;
    }
    return found->get<double>();
}

endpoint object_reader::address(std::string_view name)
{
    const json* found = find(name);
    if (found == nullptr)
    {
        missing(name, an_endpoint);
        return refused_address();
    }
    if (!found->is_string())
    {
        report(name, *found, an_endpoint);
        return refused_address();
    }
    const auto parsed = endpoint::parse(found->get<std::string>());
    if (!parsed)
    {
        report(name, *found, an_endpoint);
        return refused_address();
    }
    return *parsed;
}

std::vector<std::string> object_reader::texts(std::string_view name,
                                              std::size_t least)
{
    std::vector<std::string> values;
    const json* found = find(name);
    const std::string allowed =
        fmt::format("a list of at least {} texts that are not empty", least);
    if (found == nullptr)
    {
        if (least > 0)
        {
            missing(name, allowed);
        }
        return values;
    }
    if (!found->is_array() || found->size() < least)
    {
        report(name, *found, allowed);
        return values;
    }
    for (std::size_t at = 0; at < found->size(); ++at)
    {
        const json& element = (*found)[at];
        if (is_filled_text(element))
        {
            values.push_back(element.get<std::string>());
            continue;
        }
        report_at(fmt::format("{}/{}", path_of(name), at), element,
                  "a text that is not empty");
    }
    return values;
}

std::vector<std::uint32_t> object_reader::numbers(std::string_view name,
                                                  std::uint32_t least,
                                                  std::uint32_t most)
{
    std::vector<std::uint32_t> values;
    const json* found = find(name);
    if (found == nullptr)
    {
        return values;
    }
    const std::string allowed =
        fmt::format("a list of whole numbers, {} to {}", least, most);
    if (!found->is_array())
    {
        report(name, *found, allowed);
        return values;
    }
    for (const json& element : *found)
    {
        if (!is_number_between(element, least, most))
        {
            report(name, element, allowed);
            continue;
        }
        values.push_back(element.get<std::uint32_t>());
    }
    return values;
}

std::vector<endpoint> object_reader::addresses(std::string_view name,
                                               std::size_t least)
{
    std::vector<endpoint> values;
    const std::vector<std::string> found = texts(name, least);
    for (std::size_t at = 0; at < found.size(); ++at)
    {
        const auto parsed = endpoint::parse(found[at]);
        if (!parsed)
        {
            report_at(fmt::format("{}/{}", path_of(name), at), found[at],
                      an_endpoint);
            continue;
        }
        values.push_back(*parsed);
    }
    return values;
}

void object_reader::refuse(std::string_view name, std::string message)
{
    m_errors.push_back(error{error_kind::invalid,
                             fmt::format("{}: {}", m_file, path_of(name)),
                             std::move(message)});
}

void object_reader::finish()
{
    if (!m_is_object)
    {
        return;
    }
    const std::string allowed = fmt::format("{}", fmt::join(m_known, ", "));
    for (const auto& item : m_value.items())
    {
        if (m_known.count(item.key()) == 0)
        {
            refuse(item.key(),
                   fmt::format("unknown field; allowed: {}", allowed));
        }
    }
}

const json* object_reader::find(std::string_view name)
{
    m_known.emplace(name);
    if (!m_is_object)
    {
        return nullptr;
    }
    const auto found = m_value.find(name);
    return found == m_value.end() ? nullptr : &*found;
}

std::string object_reader::path_of(std::string_view name) const
{
    return fmt::format("{}/{}", m_path, name);
}

void object_reader::missing(std::string_view name, std::string_view allowed)
{
    // Fields of something that is no object were reported with it.
    if (m_is_object)
    {
        refuse(name, fmt::format("missing; allowed: {}", allowed));
    }
}

void object_reader::report(std::string_view name, const json& found,
                           std::string_view allowed)
{
    report_at(path_of(name), found, allowed);
}

void object_reader::report_at(const std::string& path, const json& found,
                              std::string_view allowed)
{
    m_errors.push_back(
        error{error_kind::invalid, fmt::format("{}: {}", m_file, path),
              fmt::format("found {}; allowed: {}", quote(found), allowed)});
}

} // namespace crowlink::internal
