#pragma once

#include "crowlink/document/document_change.hpp"

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace crowlink
{

struct system_document;

// The differences between two documents, sorted by path.
class document_difference
{
public:
    document_difference() = default;
    explicit document_difference(std::vector<document_change> changes);

    bool empty() const { return m_changes.empty(); }
    const std::vector<document_change>& changes() const { return m_changes; }

    // One line per change: "~ path: before -> after", "+ path: after" or
    // "- path: before". Empty for equal documents.
    std::string to_text() const;
    // [{"path":...,"before":...,"after":...}]; null represents an absent value.
    std::string to_json() const;

    friend auto operator<=>(const document_difference&,
                            const document_difference&) = default;

private:
    std::vector<document_change> m_changes;
};

// The changes that turn `before` into `after`. The order of lists is ignored.
document_difference compare(const system_document& before,
                            const system_document& after);

} // namespace crowlink
