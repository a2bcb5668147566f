#pragma once

#include "crowlink/base/ids.hpp"

#include <string_view>

namespace crowlink
{

// Draws an operation id from the system's random source.
operation_id mint_operation_id();

// Whether a text may be an operation id: 1 to 64 letters, digits, '-', '_'
// or '.'.
bool is_operation_id(std::string_view text);

} // namespace crowlink
