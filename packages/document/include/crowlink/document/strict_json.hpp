#pragma once

#include "crowlink/document/document_error.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace crowlink
{

// Parses JSON with comments. Rejects duplicate fields, of which a parser
// silently drops all but one, and nesting deeper than 16, which may exhaust the
// stack.
tl::expected<nlohmann::json, document_error>
parse_strict_json(std::string_view text);

} // namespace crowlink
