#pragma once

#include <compare>
#include <string>

namespace crowlink
{

// One place where two documents differ.
struct document_change
{
    // A JSON pointer in which an element of a list is named by its identity
    // and not by its position: a service and its fields by the service's id, a
    // region, place, kind, address or drain by its text. "/services/1/limits".
    std::string path;
    // Compact JSON; empty where the value is added.
    std::string before;
    // Compact JSON; empty where the value is removed.
    std::string after;

    friend auto operator<=>(const document_change&,
                            const document_change&) = default;
};

} // namespace crowlink
