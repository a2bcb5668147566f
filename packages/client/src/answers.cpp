#include "answers.hpp"

#include "crowlink/client/server_connection.hpp"
#include "crowlink/console/mint_operation_id.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

exit_code exit_code_of_status(int status)
{
    switch (status)
    {
    case 200:
        return exit_code::ok;
    case 400:
    case 413:
    case 422:
        return exit_code::invalid;
    case 401:
    case 403:
        return exit_code::forbidden;
    case 404:
        return exit_code::not_found;
    case 409:
        return exit_code::conflict;
    default:
        return exit_code::failed;
    }
}

void print_refusal(std::ostream& stream, const json& body)
{
    if (body.contains("message"))
    {
        fmt::print(stream, "crowlink: {}\n",
                   body.at("message").get<std::string>());
    }
    for (const auto& item : body.value("errors", json::array()))
    {
        fmt::print(stream, "{}: found {}, must be {}\n", item.value("path", ""),
                   item.value("found", ""), item.value("rule", ""));
    }
    if (body.contains("changed_since"))
    {
        fmt::print(stream, "changed since then:\n");
        print_difference(stream, body.at("changed_since"));
    }
    if (body.contains("difference"))
    {
        fmt::print(stream, "yours against the current version:\n");
        print_difference(stream, body.at("difference"));
    }
}

exit_code print_answer(const http_answer& answer, output_format format,
                       const text_printer& print, command_output& output)
{
    const auto code = exit_code_of_status(answer.status);
    constexpr bool throw_on_error = false;
    const auto body = json::parse(answer.body, nullptr, throw_on_error);
    if (!body.is_object())
    {
        fmt::print(output.err,
                   "crowlink: an answer that is not understood, "
                   "status {}\n",
                   answer.status);
        return exit_code::failed;
    }
    if (format == output_format::json)
    {
        output.out << answer.body;
        return code;
    }
    if (code == exit_code::ok)
    {
        print(output.out, body);
    }
    else
    {
        print_refusal(output.err, body);
    }
    return code;
}

result<http_answer> ask(const client_options& options, const http_call& call)
{
    auto connection = server_connection::open(options);
    if (!connection)
    {
        return tl::unexpected<error>(connection.error());
    }
    return connection->send(call);
}

} // namespace

exit_code ask_and_print(const client_options& options, const http_call& call,
                        const text_printer& print, command_output& output)
{
    const auto answer = ask(options, call);
    if (!answer)
    {
        return print_error(answer.error(), output);
    }
    return print_answer(*answer, options.output, print, output);
}

exit_code change_and_print(const client_options& options, const http_call& call,
                           const std::string& resend, const text_printer& print,
                           command_output& output)
{
    const auto code = ask_and_print(options, call, print, output);
    if (code == exit_code::unavailable)
    {
        fmt::print(output.err,
                   "The change may have taken effect. To send it again "
                   "safely, add {}\n",
                   resend);
    }
    return code;
}

exit_code exit_code_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid:
        return exit_code::invalid;
    case error_kind::conflict:
        return exit_code::conflict;
    case error_kind::not_found:
        return exit_code::not_found;
    case error_kind::forbidden:
        return exit_code::forbidden;
    case error_kind::unavailable:
        return exit_code::unavailable;
    case error_kind::storage:
        return exit_code::failed;
    }
    return exit_code::failed;
}

exit_code print_error(const error& fault, command_output& output)
{
    fmt::print(output.err, "crowlink: {}\n", to_string(fault));
    return exit_code_of(fault.kind);
}

void print_difference(std::ostream& stream, const json& list)
{
    for (const auto& change : list)
    {
        const auto& before = change.at("before");
        const auto& after = change.at("after");
        const auto path = change.at("path").get<std::string>();
        if (before.is_null())
        {
            fmt::print(stream, "+ {}: {}\n", path, after.dump());
        }
        else if (after.is_null())
        {
            fmt::print(stream, "- {}: {}\n", path, before.dump());
        }
        else
        {
            fmt::print(stream, "~ {}: {} -> {}\n", path, before.dump(),
                       after.dump());
        }
    }
}

void print_version(std::ostream& stream, const json& answer)
{
    fmt::print(stream, "version {}\n", answer.at("version").dump());
}

operation_id operation_of(const std::string& given)
{
    return given.empty() ? mint_operation_id() : operation_id(given);
}

} // namespace crowlink::internal
