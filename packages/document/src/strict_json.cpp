#include "crowlink/document/strict_json.hpp"

#include "json_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
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
    nlohmann::json* container = nullptr;
    std::string key;
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

// Builds the value of a text, and stops at the first error. The other public
// functions implement nlohmann's SAX interface.
class json_builder
{
public:
    using json = nlohmann::json;

    const document_error& error() const { return m_error; }
    json take_value() { return std::move(m_root); }

    bool null() { return add(nullptr); }
    bool boolean(bool given) { return add(given); }
    bool number_integer(json::number_integer_t given) { return add(given); }
    bool number_unsigned(json::number_unsigned_t given) { return add(given); }
    bool number_float(json::number_float_t given,
                      const json::string_t& /*unused*/)
    {
        return add(given);
    }
    bool string(json::string_t& given) { return add(std::move(given)); }
    bool binary(json::binary_t& given) { return add(std::move(given)); }

    bool start_object(std::size_t /*unused*/) { return open(json::object()); }
    bool start_array(std::size_t /*unused*/) { return open(json::array()); }
    bool end_object() { return close(); }
    bool end_array() { return close(); }

    bool key(json::string_t& name)
    {
        frame& top = m_frames.back();
        top.key = name;
        if (!top.container->contains(name))
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
    bool add(json value)
    {
        put(std::move(value));
        return true;
    }

    // Puts a value where the parser is, and returns its place.
    json& put(json value)
    {
        if (m_frames.empty())
        {
            m_root = std::move(value);
            return m_root;
        }
        frame& top = m_frames.back();
        if (top.container->is_object())
        {
            return (*top.container)[top.key] = std::move(value);
        }
        top.container->push_back(std::move(value));
        return top.container->back();
    }

    bool open(json container)
    {
        if (m_frames.size() == max_depth)
        {
            m_error = {path(), "deeper nesting",
                       fmt::format("nested at most {} deep", max_depth)};
            return false;
        }
        json& placed = put(std::move(container));
        m_frames.push_back({&placed, {}});
        return true;
    }

    bool close()
    {
        m_frames.pop_back();
        return true;
    }

    std::string path() const
    {
        std::string text;
        for (const auto& container : m_frames)
        {
            const bool is_innermost = &container == &m_frames.back();
            text = child_path(text, part_of(container, is_innermost));
        }
        return text;
    }

    // The field, or the number of the value, at which the parser is. What is
    // open inside an array is its last value already.
    static std::string part_of(const frame& at, bool is_innermost)
    {
        if (at.container->is_object())
        {
            return at.key;
        }
        return std::to_string(at.container->size() - (is_innermost ? 0 : 1));
    }

    json m_root;
    std::vector<frame> m_frames;
    document_error m_error;
};

} // namespace

tl::expected<nlohmann::json, document_error>
parse_strict_json(std::string_view text)
{
    using nlohmann::json;
    json_builder builder;
    constexpr bool strict = true;
    constexpr bool ignore_comments = true;
    if (!json::sax_parse(text, &builder, json::input_format_t::json, strict,
                         ignore_comments))
    {
        return tl::unexpected<document_error>(builder.error());
    }
    return builder.take_value();
}

} // namespace crowlink
