#pragma once

#include "crowlink/client/command_output.hpp"
#include "crowlink/client/exit_code.hpp"

#include <string>
#include <vector>

namespace crowlink
{

// Runs the subcommand that the first argument names.
exit_code run_client(const std::vector<std::string>& arguments,
                     command_output& output);

} // namespace crowlink
