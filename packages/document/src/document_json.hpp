#pragma once

#include "crowlink/model/system_document.hpp"

#include <nlohmann/json.hpp>

namespace crowlink::internal
{

// Fields in the order in which people read them.
using ordered_json = nlohmann::ordered_json;

// The canonical order of lists; see read_document.
system_document sorted(system_document document);

// A JSON value that keeps the schema and the rules across fields.
system_document from_json(const nlohmann::json& value);

ordered_json to_json(const system_document& document);

} // namespace crowlink::internal
