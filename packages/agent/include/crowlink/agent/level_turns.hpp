#pragma once

#include <cstdint>
#include <map>
#include <span>

namespace crowlink::internal
{

// Which priority level gets the next start: the most urgent one that waits. One
// of four starts goes to the next less urgent level, so that none starves.
class level_turns
{
public:
    // Of the levels that wait, in ascending order and at least one.
    std::uint32_t next(std::span<const std::uint32_t> waiting) const;
    // Records that a level got a start while these waited.
    void started(std::span<const std::uint32_t> waiting, std::uint32_t level);

private:
    // The starts of each level since a less urgent one that waited got one.
    std::map<std::uint32_t, std::uint32_t> m_in_a_row;
};

} // namespace crowlink::internal
