#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "crowlink/client/server_connection.hpp"
#include "document_file.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

// The version that the server holds now.
result<config_version> current_version(const client_options& options)
{
    auto connection = server_connection::open(options);
    if (!connection)
    {
        return tl::unexpected<error>(connection.error());
    }
    const auto answer = connection->send({"/v1/document", ""});
    if (!answer)
    {
        return tl::unexpected<error>(answer.error());
    }
    constexpr bool throw_on_error = false;
    const auto body = json::parse(answer->body, nullptr, throw_on_error);
    if (!body.is_object() || !body.contains("version"))
    {
        constexpr int unauthorized = 401;
        const auto kind = answer->status == unauthorized
                              ? error_kind::forbidden
                              : error_kind::unavailable;
        return fail(kind, "", "the current version cannot be read");
    }
    return config_version(body.at("version").get<std::uint64_t>());
}

} // namespace

exit_code run_apply(const arguments_type& arguments, command_output& output)
{
    server_command_line line(
        "Makes a document the current one. It is refused if the version that "
        "it was made from is no longer the current one; that version is taken "
        "from --base, or from the first line that `get` wrote, or else from "
        "the server.",
        output);
    constexpr std::uint64_t no_base = 0;
    TCLAP::ValueArg<std::uint64_t> given_base(
        "", "base", "version that the document was made from", false, no_base,
        "VERSION", line.line());
    TCLAP::ValueArg<std::string> given_operation(
        "", "operation", "operation id of an earlier try, to send it again",
        false, "", "ID", line.line());
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
    auto base = read_version_line(*text);
    if (given_base.getValue() != no_base)
    {
        base = config_version(given_base.getValue());
    }
    if (!base)
    {
        const auto current = current_version(line.options());
        if (!current)
        {
            return print_error(current.error(), output);
        }
        base = *current;
    }
    const auto operation = operation_of(given_operation.getValue());
    const json body = {{"base_version", base->value()},
                       {"operation_id", operation.value()},
                       {"document", *text}};
    return change_and_print(line.options(), {"/v1/document", body.dump()},
                            fmt::format("--operation {} --base {}",
                                        operation.value(), base->value()),
                            print_version, output);
}

} // namespace crowlink::internal
