#pragma once

#include "crowlink/client/command_output.hpp"
#include "crowlink/client/exit_code.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace crowlink
{

// One subcommand.
struct command
{
    // The arguments begin with the subcommand's own name.
    using function = exit_code (*)(const std::vector<std::string>& arguments,
                                   command_output& output);

    std::string_view name;
    // One line for the help.
    std::string_view summary;
    function run = nullptr;
};

} // namespace crowlink
