#pragma once

#include "crowlink/daemon/exit_code.hpp"

namespace crowlink
{

// Runs crowlinkd with the arguments of a program: reads the settings, starts
// the roles, and drains them at SIGTERM or SIGINT. Errors go to standard error.
exit_code run_daemon(int argc, char** argv);

} // namespace crowlink
