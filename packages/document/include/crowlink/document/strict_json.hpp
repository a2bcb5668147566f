#pragma once

#include "crowlink/document/document_error.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace crowlink
{

// Parses JSON with comments. Refuses what a parser would silently change or
// choke on: fields given twice, and nesting deeper than 16.
tl::expected<nlohmann::json, document_error>
parse_strict_json(std::string_view text);

} // namespace crowlink
