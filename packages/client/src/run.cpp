#include "crowlink/client/run.hpp"

#include "commands.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace crowlink
{

namespace
{

using namespace internal;

// Drain and undrain share their function, which looks at the name.
constexpr std::array commands = {
    command{"apply", "make a document the current one", run_apply},
    command{"check", "check a document without a server", run_check},
    command{"diff", "show what applying a document would change", run_diff},
    command{"drain", "give an upstream no new flow", run_drain},
    command{"evacuate", "give a data centre's upstreams no new flow",
            run_evacuate},
    command{"explain", "show where a flow would go", run_explain},
    command{"get", "print the current document or an older one", run_get},
    command{"history", "list the latest changes", run_history},
    command{"keys", "make a key file, or show what may be told of one",
            run_keys},
    command{"members", "list or change the control hosts", run_members},
    command{"plan", "work out the hosts for a deployment", run_plan},
    command{"status", "show who holds which version", run_status},
    command{"timeline", "show the phases of outages from logs", run_timeline},
    command{"token", "make a new operator's token", run_token},
    command{"undrain", "give an upstream new flows again", run_drain},
};

void print_help(std::ostream& stream)
{
    fmt::print(stream, "crowlink SUBCOMMAND [OPTIONS]\n\n");
    for (const auto& item : commands)
    {
        fmt::print(stream, "  {:<9}  {}\n", item.name, item.summary);
    }
    fmt::print(stream, "\n\"crowlink SUBCOMMAND --help\" tells more.\n"
                       "It ends with 0 ok, 1 failed, 2 usage, 3 invalid, "
                       "4 conflict,\n5 unavailable, 6 not found, 7 "
                       "forbidden.\n");
}

} // namespace

exit_code run_client(const std::vector<std::string>& arguments,
                     command_output& output)
{
    if (arguments.empty())
    {
        print_help(output.err);
        return exit_code::usage;
    }
    const auto& name = arguments.front();
    if (name == "--help" || name == "-h" || name == "help")
    {
        print_help(output.out);
        return exit_code::ok;
    }
    const auto* const found = std::find_if(commands.begin(), commands.end(),
                                           [&name](const command& item)
                                           { return item.name == name; });
    if (found == commands.end())
    {
        fmt::print(output.err, "crowlink: there is no subcommand {}\n\n", name);
        print_help(output.err);
        return exit_code::usage;
    }
    return found->run(arguments, output);
}

} // namespace crowlink
