#pragma once

#include <iosfwd>

namespace crowlink
{

// Where a subcommand writes: what was asked for, and what went wrong.
struct command_output
{
    std::ostream& out;
    std::ostream& err;
};

} // namespace crowlink
