#pragma once

#include "crowlink/model/system_document.hpp"

#include <string>

namespace crowlink
{

// The canonical text: JSON with every field present, lists in the order of the
// reader, indented by two spaces, with a trailing newline. Durations have a
// precision of one millisecond.
std::string write_document(const system_document& document);

// The canonical document on one line, for embedding in another JSON value.
std::string write_compact_document(const system_document& document);

} // namespace crowlink
