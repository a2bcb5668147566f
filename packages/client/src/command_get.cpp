#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_writer.hpp"
#include "document_file.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

// Written anew, since the answer's fields come in no order after parsing.
void print_document(std::ostream& stream, const nlohmann::json& body)
{
    const config_version version(body.at("version").get<std::uint64_t>());
    const auto document = read_document(body.at("document").dump());
    stream << version_line(version)
           << (document ? write_document(*document)
                        : body.at("document").dump(2) + "\n");
}

} // namespace

exit_code run_get(const arguments_type& arguments, command_output& output)
{
    server_command_line line("Prints the current document or an older one, "
                             "ready to be edited and applied.",
                             output);
    TCLAP::ValueArg<std::uint64_t> version("", "version", "an older version",
                                           false, 0, "VERSION", line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    std::string path = "/v1/document";
    if (version.isSet())
    {
        path += fmt::format("?version={}", version.getValue());
    }
    return ask_and_print(line.options(), {path, ""}, print_document, output);
}

} // namespace crowlink::internal
