#include "process/command_line.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace crowlink::internal
{

namespace
{

constexpr const char* description =
    "crowlinkd runs the roles that its settings name: balancer, agent, "
    "control. Exit status: 0 drained or checked, 2 wrong arguments, 3 invalid "
    "settings, 4 cannot start, 5 storage failed, 6 a second signal cut the "
    "draining short.";

} // namespace

tl::expected<command_line, exit_code> read_command_line(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line(description, ' ', CROWLINK_VERSION);
        line.setExceptionHandling(false);
        TCLAP::SwitchArg check("", "check", "check the settings file and end",
                               line);
        TCLAP::UnlabeledValueArg<std::string> file(
            "settings", "settings file, JSON with comments", true, "",
            "SETTINGS", line);
        line.parse(argc, argv);
        return command_line{file.getValue(), check.getValue()};
    }
    catch (const TCLAP::ExitException&)
    {
        // --help or --version, which printed what they say.
        return tl::unexpected(exit_code::success);
    }
    catch (const TCLAP::ArgException& wrong)
    {
        fmt::print(stderr, "crowlinkd: {} {}\nTry crowlinkd --help.\n",
                   wrong.error(), wrong.argId());
        return tl::unexpected(exit_code::usage);
    }
}

} // namespace crowlink::internal
