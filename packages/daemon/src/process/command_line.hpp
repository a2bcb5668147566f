#pragma once

#include "crowlink/daemon/exit_code.hpp"

#include <string>
#include <tl/expected.hpp>

namespace crowlink::internal
{

// What crowlinkd was asked to do.
struct command_line
{
    std::string settings_file;
    // Check the settings and end.
    bool check_only = false;
};

// Reads the arguments; on --help, --version and errors prints what there is to
// say and yields the exit status.
tl::expected<command_line, exit_code> read_command_line(int argc, char** argv);

} // namespace crowlink::internal
