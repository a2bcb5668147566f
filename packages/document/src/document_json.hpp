#pragma once

#include "crowlink/model/system_document.hpp"

#include <nlohmann/json.hpp>

namespace crowlink::internal
{

// Keeps the order in which fields are added, which suits human readers.
using ordered_json = nlohmann::ordered_json;

// Returns the document with its lists in canonical order; see read_document.
system_document sorted(system_document document);

// Converts a JSON value that satisfies the schema and the cross-field rules.
system_document from_json(const nlohmann::json& value);

ordered_json to_json(const system_document& document);

} // namespace crowlink::internal
