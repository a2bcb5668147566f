#pragma once

#include "crowlink/base/error.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink::internal
{

// Reads a file's bytes.
result<std::string> read_file(const std::string& file);

// Parses JSON with comments. Reports text that is no JSON, and fields that
// stand twice in one object; without errors the value is whole.
nlohmann::json parse_document(std::string_view text, const std::string& file,
                              std::vector<error>& errors);

} // namespace crowlink::internal
