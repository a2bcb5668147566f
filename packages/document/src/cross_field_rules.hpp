#pragma once

#include "crowlink/document/document_error.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace crowlink::internal
{

// Returns the violations of rules that a schema cannot express: uniqueness,
// valid addresses, consistent limits. Values of a wrong type are skipped, since
// the schema check reports them; thus both checks can run on one invalid
// document.
std::vector<document_error>
check_cross_field_rules(const nlohmann::json& value);

} // namespace crowlink::internal
