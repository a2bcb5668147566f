#pragma once

// The daemon module: binds the roles' state machines to sockets, clocks,
// threads and files, and runs them as the program crowlinkd.
//
//   exit_code.hpp   what the program's exit status says
//   run_daemon.hpp  the whole program

#include "crowlink/daemon/exit_code.hpp"
#include "crowlink/daemon/run_daemon.hpp"
