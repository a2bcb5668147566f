#pragma once

#include <cstdint>

namespace crowlink
{

// What the client prints.
enum class output_format : std::uint8_t
{
    // For people.
    text,
    // The server's JSON, also of refusals, on standard output.
    json,
};

} // namespace crowlink
