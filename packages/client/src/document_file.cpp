#include "document_file.hpp"

#include "answers.hpp"
#include "crowlink/document/document_reader.hpp"

#include <charconv>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace crowlink::internal
{

namespace
{

constexpr std::string_view version_prefix = "// crowlink version ";

} // namespace

result<std::string> read_file(const std::string& name)
{
    std::stringstream text;
    if (name == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream stream(name);
    if (!stream || !(text << stream.rdbuf()))
    {
        return fail(error_kind::storage, name, "cannot be read or is empty");
    }
    return text.str();
}

tl::expected<std::string, exit_code> read_checked(const std::string& name,
                                                  command_output& output)
{
    auto text = read_file(name);
    if (!text)
    {
        return tl::unexpected<exit_code>(print_error(text.error(), output));
    }
    const auto document = read_document(*text);
    if (!document)
    {
        fmt::print(output.err, "{}", document.error().to_text());
        return tl::unexpected<exit_code>(exit_code::invalid);
    }
    return std::move(*text);
}

std::string version_line(config_version version)
{
    return fmt::format("{}{}\n", version_prefix, version.value());
}

std::optional<config_version> read_version_line(const std::string& text)
{
    if (!text.starts_with(version_prefix))
    {
        return std::nullopt;
    }
    const char* const start = text.data() + version_prefix.size();
    std::uint64_t number = 0;
    const auto parsed =
        std::from_chars(start, text.data() + text.size(), number);
    if (parsed.ec != std::errc())
    {
        return std::nullopt;
    }
    return config_version(number);
}

} // namespace crowlink::internal
