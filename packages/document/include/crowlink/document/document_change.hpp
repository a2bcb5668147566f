#pragma once

#include <compare>
#include <string>

namespace crowlink
{

// One difference between two documents.
struct document_change
{
    // A JSON pointer in which a list element is identified by its key instead
    // of its index: a service by its id, a route by its address, a share of a
    // route by its service; a region, data centre, kind, address or drain by
    // its string. Example: "/services/1/limits".
    std::string path;
    // Compact JSON; empty if the value is added.
    std::string before;
    // Compact JSON; empty if the value is removed.
    std::string after;

    friend auto operator<=>(const document_change&,
                            const document_change&) = default;
};

} // namespace crowlink
