#pragma once

#include "crowlink/forwarding/candidate.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

// A flow's candidates in the order in which they are asked. Holds its elements
// in place; adding beyond the capacity is ignored.
class candidate_chain
{
public:
    static constexpr std::size_t capacity = 4;

    void push_back(const candidate& next)
    {
        if (m_size < capacity)
        {
            m_items[m_size++] = next;
        }
    }

    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    const candidate& operator[](std::size_t index) const
    {
        return m_items[index];
    }
    const candidate* begin() const { return m_items.data(); }
    const candidate* end() const { return m_items.data() + m_size; }

    friend bool operator==(const candidate_chain& first,
                           const candidate_chain& second)
    {
        return std::equal(first.begin(), first.end(), second.begin(),
                          second.end());
    }

private:
    std::array<candidate, capacity> m_items{};
    std::uint8_t m_size = 0;
};

} // namespace crowlink
