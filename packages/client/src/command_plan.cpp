#include "command_line.hpp"
#include "commands.hpp"
#include "document_file.hpp"

#include "crowlink/plan.hpp"

#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

// Prints what is wrong, and yields what to end with.
exit_code report(const error& problem, exit_code code, command_output& output)
{
    fmt::print(output.err, "crowlink plan: {}\n", to_string(problem));
    return code;
}

} // namespace

exit_code run_plan(const arguments_type& arguments, command_output& output)
{
    command_line line("Works out the hosts for a deployment's sizes, from "
                      "measured slopes, without a server.",
                      output);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "the sizes, or - for standard input", true, "", "FILE",
        line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto text = read_file(file.getValue());
    if (!text)
    {
        return report(text.error(), exit_code::failed, output);
    }
    const auto wanted = read_plan_file(*text);
    if (!wanted)
    {
        return report(wanted.error(), exit_code::invalid, output);
    }
    const auto costs = read_costs(shipped_costs_text());
    if (!costs)
    {
        return report(costs.error(), exit_code::failed, output);
    }
    const capacity_plan plan = make_plan(wanted->sizes, wanted->host, *costs);
    fmt::print(output.out, "{}", to_text(wanted->sizes, plan));
    return exit_code::ok;
}

} // namespace crowlink::internal
