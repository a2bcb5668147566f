#include "crowlink/document/strict_json.hpp"

#include "json_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace crowlink
{

using internal::child_path;

namespace
{

constexpr std::size_t max_depth = 16;

// The parser's position in one container.
struct frame
{
    bool is_object = false;
    std::size_t index = 0;
    std::string key;
    std::set<std::string, std::less<>> keys;
};

// Replaces bytes other than printable ASCII, since the message quotes input
// that may be invalid UTF-8.
std::string printable(std::string_view text)
{
    constexpr char first = ' ';
    constexpr char last = '~';
    std::string result(text);
    for (char& character : result)
    {
        character = character < first || character > last ? '?' : character;
    }
    return result;
}

// Checks a text without building its value, and stops at the first error. The
// other public functions implement nlohmann's SAX interface.
class json_inspector
{
public:
    using json = nlohmann::json;

    const document_error& error() const { return m_error; }

    bool null() { return value(); }
    bool boolean(bool /*unused*/) { return value(); }
    bool number_integer(json::number_integer_t /*unused*/) { return value(); }
    bool number_unsigned(json::number_unsigned_t /*unused*/) { return value(); }
    bool number_float(json::number_float_t /*unused*/,
                      const json::string_t& /*unused*/)
    {
        return value();
    }
    bool string(json::string_t& /*unused*/) { return value(); }
    bool binary(json::binary_t& /*unused*/) { return value(); }

    bool start_object(std::size_t /*unused*/) { return open(true); }
    bool start_array(std::size_t /*unused*/) { return open(false); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }

    bool key(json::string_t& name)
    {
        frame& top = m_frames.back();
        top.key = name;
        if (top.keys.insert(name).second)
        {
            return true;
        }
        m_error = {path(), "a field given twice", "given once"};
        return false;
    }

    bool parse_error(std::size_t position, const std::string& /*unused*/,
                     const nlohmann::detail::exception& reason)
    {
        // The message starts with an error number of the library in brackets.
        const std::string_view message = reason.what();
        const std::size_t end = message.find("] ");
        const auto text =
            end == std::string_view::npos ? message : message.substr(end + 2);
        m_error = {"", fmt::format("at byte {}: {}", position, printable(text)),
                   "JSON with comments"};
        return false;
    }

private:
    bool value()
    {
        if (!m_frames.empty() && !m_frames.back().is_object)
        {
            ++m_frames.back().index;
        }
        return true;
    }

    bool open(bool is_object)
    {
        if (m_frames.size() == max_depth)
        {
            m_error = {path(), "deeper nesting",
                       fmt::format("nested at most {} deep", max_depth)};
            return false;
        }
        m_frames.push_back({is_object, 0, {}, {}});
        return true;
    }

    bool close()
    {
        m_frames.pop_back();
        return value();
    }

    std::string path() const
    {
        std::string text;
        for (const auto& container : m_frames)
        {
            text = child_path(text, container.is_object
                                        ? container.key
                                        : std::to_string(container.index));
        }
        return text;
    }

    std::vector<frame> m_frames;
    document_error m_error;
};

} // namespace

tl::expected<nlohmann::json, document_error>
parse_strict_json(std::string_view text)
{
    using nlohmann::json;
    json_inspector inspector;
    constexpr bool strict = true;
    constexpr bool ignore_comments = true;
    if (!json::sax_parse(text, &inspector, json::input_format_t::json, strict,
                         ignore_comments))
    {
        return tl::unexpected<document_error>(inspector.error());
    }
    constexpr bool throw_on_error = false;
    return json::parse(text, nullptr, throw_on_error, ignore_comments);
}

} // namespace crowlink
