#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace crowlink::internal
{

// Describes a value in an error: a scalar as JSON truncated to a bounded
// length, a container by its type and size only, since it may be large.
std::string describe(const nlohmann::json& value);

// The path of a child: the parent's JSON pointer with an escaped token
// appended.
std::string child_path(const std::string& parent, std::string_view token);

} // namespace crowlink::internal
