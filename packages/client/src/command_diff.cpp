#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "document_file.hpp"

#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

void print_preview(std::ostream& stream, const nlohmann::json& body)
{
    if (body.at("difference").empty())
    {
        fmt::print(stream, "no difference from version {}\n",
                   body.at("base_version").dump());
        return;
    }
    print_difference(stream, body.at("difference"));
}

} // namespace

exit_code run_diff(const arguments_type& arguments, command_output& output)
{
    server_command_line line("Shows what applying a document would change. "
                             "Changes nothing.",
                             output);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "the document, or - for standard input", true, "", "FILE",
        line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto text = read_checked(file.getValue(), output);
    if (!text)
    {
        return text.error();
    }
    const nlohmann::json body = {{"document", *text}};
    return ask_and_print(line.options(), {"/v1/preview", body.dump()},
                         print_preview, output);
}

} // namespace crowlink::internal
