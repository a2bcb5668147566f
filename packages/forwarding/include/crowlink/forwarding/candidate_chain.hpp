#pragma once

#include "crowlink/forwarding/candidate.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

// A flow's candidates in order of preference. Elements are stored inline;
// push_back is ignored once the capacity is reached.
class candidate_chain
{
public:
    static constexpr std::size_t capacity = 4;

    void push_back(const candidate& added)
    {
        if (m_size < capacity)
        {
            m_items[m_size++] = added;
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
