#pragma once

#include "crowlink/document/document_errors.hpp"
#include "crowlink/model/system_document.hpp"

#include <cstddef>
#include <string_view>
#include <tl/expected.hpp>

namespace crowlink
{

// Texts longer than this are refused unread, in bytes.
inline constexpr std::size_t max_document_bytes = 16U << 20U;

// A document that keeps every rule, or all the rules that it breaks.
using checked_document = tl::expected<system_document, document_errors>;

// Reads JSON with comments. The order of lists means nothing: the result holds
// places sorted by region and name, services by id, and addresses, kinds and
// drains sorted, so that equal documents compare equal.
checked_document read_document(std::string_view text);

// Reads the text of a document that was checked before it was committed: all
// but the schema is checked again, and what can't be read for want of that is
// an error of the whole text. The schema is three quarters of the time of
// read_document; a control host of 0.24 cores that read 1,400 routes after all
// processes were killed lost its quorum meanwhile.
checked_document read_committed_document(std::string_view text);

} // namespace crowlink
