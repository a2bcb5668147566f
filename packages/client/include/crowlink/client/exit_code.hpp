#pragma once

#include <cstdint>

namespace crowlink
{

// What the client ends with.
enum class exit_code : std::uint8_t
{
    ok = 0,
    // Anything that has no code of its own.
    failed = 1,
    // The command line is wrong.
    usage = 2,
    // The document, or another input, breaks a rule.
    invalid = 3,
    // Somebody else was faster; nothing was changed.
    conflict = 4,
    // No server gave an answer in time. A change may have taken effect.
    unavailable = 5,
    // What was named does not exist.
    not_found = 6,
    // The token is missing or not known.
    forbidden = 7,
};

} // namespace crowlink
