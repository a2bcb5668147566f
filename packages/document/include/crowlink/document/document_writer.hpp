#pragma once

#include "crowlink/model/system_document.hpp"

#include <string>

namespace crowlink
{

// The canonical text: JSON with every field written out, lists in the order of
// the reader, indented by two spaces, with a newline at the end. Durations are
// written to the millisecond.
std::string write_document(const system_document& document);

// The same on one line, for use inside another JSON value.
std::string write_compact_document(const system_document& document);

} // namespace crowlink
