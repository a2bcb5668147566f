#include "crowlink/agent/level_turns.hpp"

namespace crowlink::internal
{

namespace
{

constexpr std::uint32_t max_in_a_row = 3;

} // namespace

std::uint32_t level_turns::next(std::span<const std::uint32_t> waiting) const
{
    for (const std::uint32_t level : waiting)
    {
        const auto known = m_in_a_row.find(level);
        if (known == m_in_a_row.end() || known->second < max_in_a_row)
        {
            return level;
        }
    }
    return waiting.back();
}

void level_turns::started(std::span<const std::uint32_t> waiting,
                          std::uint32_t level)
{
    for (const std::uint32_t each : waiting)
    {
        if (each < level)
        {
            m_in_a_row[each] = 0;
        }
    }
    if (level != waiting.back())
    {
        ++m_in_a_row[level];
    }
}

} // namespace crowlink::internal
