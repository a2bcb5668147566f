#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"

namespace crowlink::internal
{

exit_code run_drain(const arguments_type& arguments, command_output& output)
{
    const bool drains = arguments.front() == "drain";
    server_command_line line(
        drains ? "Drains an upstream: it keeps its flows and gets no new one."
               : "Ends the drain of an upstream: it gets new flows again.",
        output);
    TCLAP::ValueArg<std::string> given_operation(
        "", "operation", "operation id of an earlier try, to send it again",
        false, "", "ID", line.line());
    TCLAP::UnlabeledValueArg<std::string> upstream(
        "upstream", "name of the upstream", true, "", "UPSTREAM", line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto operation = operation_of(given_operation.getValue());
    const nlohmann::json body = {{"upstream", upstream.getValue()},
                                 {"operation_id", operation.value()}};
    return change_and_print(
        line.options(), {drains ? "/v1/drain" : "/v1/undrain", body.dump()},
        "--operation " + operation.value(), print_version, output);
}

} // namespace crowlink::internal
