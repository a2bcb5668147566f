#pragma once

#include "crowlink/document/document_error.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace crowlink::internal
{

// Every broken rule that a schema cannot state: uniqueness, addresses, limits
// that fit together. Values of a wrong type are passed over, since the schema
// reports them; so both checks can run on one faulty document.
std::vector<document_error> check_cross_rules(const nlohmann::json& value);

} // namespace crowlink::internal
