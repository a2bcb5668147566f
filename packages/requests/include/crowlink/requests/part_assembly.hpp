#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink
{

// Reassembles a body from its parts, which may arrive in any order and more
// than once.
class part_assembly
{
public:
    // Adds a part and returns the number of bytes added: 0 for a duplicate, or
    // for a part whose count of parts differs from that of the first.
    std::size_t add(std::uint32_t part, std::uint32_t parts,
                    std::string_view body);

    bool is_complete() const { return m_missing == 0 && !m_bodies.empty(); }
    std::size_t bytes() const { return m_bytes; }

    // Returns the body and clears the assembly. Requires is_complete().
    std::string take();

private:
    std::vector<std::optional<std::string>> m_bodies;
    std::size_t m_missing = 0;
    std::size_t m_bytes = 0;
};

// Returns the number of parts into which a body is split; at least one.
std::uint32_t part_count(std::string_view body);

// Returns the bytes of one part of a body.
std::string_view body_slice(std::string_view body, std::uint32_t part);

} // namespace crowlink
