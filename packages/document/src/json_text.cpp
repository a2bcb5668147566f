#include "json_text.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t max_description_bytes = 100;

// Truncates a UTF-8 string without splitting a character.
std::string truncate(std::string text)
{
    if (text.size() <= max_description_bytes)
    {
        return text;
    }
    std::size_t end = max_description_bytes;
    constexpr unsigned continuation_mask = 0xc0;
    constexpr unsigned continuation = 0x80;
    while (end > 0 && (static_cast<unsigned char>(text[end]) &
                       continuation_mask) == continuation)
    {
        --end;
    }
    text.resize(end);
    return text + "...";
}

} // namespace

std::string describe(const nlohmann::json& value)
{
    if (value.is_object())
    {
        return fmt::format("an object of {} fields", value.size());
    }
    if (value.is_array())
    {
        return fmt::format("a list of {}", value.size());
    }
    return truncate(value.dump());
}

std::string child_path(const std::string& parent, std::string_view token)
{
    std::string path = parent + "/";
    for (const char character : token)
    {
        if (character == '~')
        {
            path += "~0";
        }
        else if (character == '/')
        {
            path += "~1";
        }
        else
        {
            path += character;
        }
    }
    return path;
}

} // namespace crowlink::internal
