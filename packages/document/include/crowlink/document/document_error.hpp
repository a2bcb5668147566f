#pragma once

#include <compare>
#include <string>

namespace crowlink
{

// A rule that a document violates.
struct document_error
{
    // JSON pointer (RFC 6901) to the value; empty for the document itself.
    std::string path;
    // The value found, as compact JSON truncated to a bounded length.
    std::string found;
    // The values that the rule allows.
    std::string rule;

    // Example: "/services/0/candidates: found 9, must be a whole number from 1
    // to 4".
    std::string to_string() const;

    friend auto operator<=>(const document_error&,
                            const document_error&) = default;
};

} // namespace crowlink
