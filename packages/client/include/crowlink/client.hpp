#pragma once

// The client module: the operators' command line, `crowlink SUBCOMMAND`. A
// subcommand is one file, src/command_NAME.cpp, and one line in the table in
// src/run.cpp.
//
//   run.hpp                runs a command line
//   command.hpp            one subcommand
//   command_output.hpp     where it writes
//   exit_code.hpp          what it ends with
//   client_options.hpp     the options that subcommands share
//   output_format.hpp      text or JSON
//   server_connection.hpp  asks one of several servers
//   http_call.hpp          one request
//   http_answer.hpp        its answer

#include "crowlink/client/client_options.hpp"
#include "crowlink/client/command.hpp"
#include "crowlink/client/command_output.hpp"
#include "crowlink/client/exit_code.hpp"
#include "crowlink/client/http_answer.hpp"
#include "crowlink/client/http_call.hpp"
#include "crowlink/client/output_format.hpp"
#include "crowlink/client/run.hpp"
#include "crowlink/client/server_connection.hpp"
