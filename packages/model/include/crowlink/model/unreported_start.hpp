#pragma once

#include <cstdint>

namespace crowlink
{

// Stands for the start of an upstream that has not reported it. Where upstreams
// never report it, each of their starts has a name of its own.
constexpr std::uint64_t unreported_start = 1;

} // namespace crowlink
