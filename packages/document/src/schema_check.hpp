#pragma once

#include "crowlink/document/document_error.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace crowlink::internal
{

// Returns the violations of the document's schema.
std::vector<document_error> check_schema(const nlohmann::json& value);

} // namespace crowlink::internal
