#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace crowlink::internal
{

// A description of a value for an error: a scalar as JSON, cut to a bounded
// length; of a container only its kind and size, since it may be large.
std::string describe(const nlohmann::json& value);

// The path of a child: a JSON pointer with one more token, escaped.
std::string child_path(const std::string& parent, std::string_view token);

} // namespace crowlink::internal
