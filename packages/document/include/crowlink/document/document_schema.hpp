#pragma once

#include <string_view>

namespace crowlink
{

// The JSON schema (draft 7) of the operators' document: the content of
// schema/document.schema.json.
std::string_view document_schema();

} // namespace crowlink
