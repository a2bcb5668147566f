#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink
{

// Puts the parts of one body together, in whatever order and however often
// they arrive.
class part_assembly
{
public:
    // Takes one part and yields the bytes it added: none for a duplicate, or
    // for a part that contradicts the count of the first one.
    std::size_t add(std::uint32_t part, std::uint32_t parts,
                    std::string_view body);

    bool is_complete() const { return m_missing == 0 && !m_bodies.empty(); }
    std::size_t bytes() const { return m_bytes; }

    // The whole body. Requires whole(); leaves the assembly empty.
    std::string take();

private:
    std::vector<std::optional<std::string>> m_bodies;
    std::size_t m_missing = 0;
    std::size_t m_bytes = 0;
};

// The number of parts that a body is cut into; at least one.
std::uint32_t part_count(std::string_view body);

// The bytes of one part of a body.
std::string_view body_slice(std::string_view body, std::uint32_t part);

} // namespace crowlink
