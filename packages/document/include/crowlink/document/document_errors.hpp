#pragma once

#include "crowlink/document/document_error.hpp"

#include <compare>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace crowlink
{

// The rules that a document violates, sorted by path. At most `capacity` are
// kept; the number of omitted ones is counted.
class document_errors
{
public:
    static constexpr std::size_t capacity = 200;

    document_errors() = default;
    explicit document_errors(std::vector<document_error> items);

    bool empty() const { return m_items.empty(); }
    const std::vector<document_error>& items() const { return m_items; }
    std::size_t left_out() const { return m_left_out; }

    // One line per error.
    std::string to_text() const;
    // {"errors":[{"path":...,"found":...,"rule":...}],"left_out":0}
    std::string to_json() const;

    friend auto operator<=>(const document_errors&,
                            const document_errors&) = default;

private:
    std::vector<document_error> m_items;
    std::size_t m_left_out = 0;
};

} // namespace crowlink
