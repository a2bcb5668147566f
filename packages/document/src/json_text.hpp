#pragma once

#include "crowlink/document/document_error.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace crowlink::internal
{

// A description of a value for an error: a scalar as JSON, cut to a bounded
// length; of a container only its kind and size, since it may be large.
std::string describe(const nlohmann::json& value);

// The path of a child: a JSON pointer with one more token, escaped.
std::string child_path(const std::string& parent, std::string_view token);

// Parses JSON with comments. Refuses what a parser would silently change or
// choke on: fields given twice, and nesting deeper than any document has.
tl::expected<nlohmann::json, document_error> parse_json(std::string_view text);

} // namespace crowlink::internal
