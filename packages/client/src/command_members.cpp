#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <optional>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

void print_members(std::ostream& stream, const json& body)
{
    for (const auto& member : body.at("members"))
    {
        fmt::print(stream, "{:<16}  {:<24}  {:<8}  {}{}\n",
                   member.at("host").get<std::string>(),
                   member.at("address").get<std::string>(),
                   member.at("role").get<std::string>(),
                   member.at("reachable").get<bool>() ? "reachable" : "silent",
                   member.at("leader").get<bool>() ? ", leader" : "");
    }
}

// The request that the words ask for; nothing if they do not fit.
std::optional<json> request_of(const std::vector<std::string>& words)
{
    const auto is = [&words](const char* action, std::size_t count)
    {
        return words.front() == action && words.size() == count;
    };
    if (is("add", 3))
    {
        return json{
            {"action", "add"}, {"host", words[1]}, {"address", words[2]}};
    }
    if (is("remove", 2))
    {
        return json{{"action", "remove"}, {"host", words[1]}};
    }
    if (is("replace", 4))
    {
        return json{{"action", "replace"},
                    {"replaced", words[1]},
                    {"host", words[2]},
                    {"address", words[3]}};
    }
    return std::nullopt;
}

} // namespace

exit_code run_members(const arguments_type& arguments, command_output& output)
{
    server_command_line line(
        "Lists the control hosts, or changes them, one at a time: "
        "add HOST ADDRESS, remove HOST, replace OLD NEW ADDRESS.",
        output);
    TCLAP::ValueArg<std::string> given_operation(
        "", "operation", "operation id of an earlier try, to send it again",
        false, "", "ID", line.line());
    TCLAP::UnlabeledMultiArg<std::string> words(
        "change", "add, remove or replace and what belongs to it", false,
        "CHANGE", line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    if (words.getValue().empty())
    {
        return ask_and_print(line.options(), {"/v1/members", ""}, print_members,
                             output);
    }
    auto body = request_of(words.getValue());
    if (!body)
    {
        fmt::print(output.err, "crowlink members: must be followed by add HOST "
                               "ADDRESS, remove HOST or replace OLD NEW "
                               "ADDRESS; see --help\n");
        return exit_code::usage;
    }
    const auto operation = operation_of(given_operation.getValue());
    (*body)["operation_id"] = operation.value();
    return change_and_print(line.options(), {"/v1/members", body->dump()},
                            "--operation " + operation.value(), print_members,
                            output);
}

} // namespace crowlink::internal
