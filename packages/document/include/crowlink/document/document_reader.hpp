#pragma once

#include "crowlink/document/document_errors.hpp"
#include "crowlink/model/system_document.hpp"

#include <cstddef>
#include <string_view>
#include <tl/expected.hpp>

namespace crowlink
{

// The maximum length of a document in bytes; longer texts are rejected before
// parsing.
inline constexpr std::size_t max_document_bytes = 16U << 20U;

// A valid document, or all rules that the text violates.
using checked_document = tl::expected<system_document, document_errors>;

// Reads JSON with comments. The order of lists is insignificant: the result
// holds data centres sorted by region and name, services by id, and addresses,
// kinds and drains sorted, so that equivalent documents compare equal.
checked_document read_document(std::string_view text);

// Reads the text of a document that was validated before it was committed. All
// checks but the schema are repeated; a text that can't be read because it
// violates the schema yields one error for the whole document. Schema
// validation takes three quarters of the time of read_document: a control host
// of 0.24 cores that read 1,400 routes after all processes were killed lost its
// quorum meanwhile.
checked_document read_committed_document(std::string_view text);

} // namespace crowlink
