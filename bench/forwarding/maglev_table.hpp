#pragma once

#include "crowlink/base/hash.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <cstdint>
#include <vector>

namespace crowlink::bench
{

// The other alternative: a look-up table filled in turns by each member's own
// permutation of the slots (Eisenbud and others, Maglev, NSDI 2016, section
// 3.4). It yields one member; a chain would need more tables.
class maglev_table
{
public:
    // The number of slots must be a prime.
    maglev_table(const std::vector<candidate>& members, std::size_t slots)
        : m_members(members), m_slots(slots, empty)
    {
        std::vector<std::size_t> next(m_members.size(), 0);
        std::size_t filled = 0;
        while (filled < slots)
        {
            for (std::size_t i = 0; i < m_members.size() && filled < slots; ++i)
            {
                take_slot(i, next[i]);
                ++filled;
            }
        }
    }

    const candidate& choose(std::uint64_t flow_hash) const
    {
        return m_members[m_slots[flow_hash % m_slots.size()]];
    }

    std::size_t memory() const
    {
        return m_members.capacity() * sizeof(candidate) +
               m_slots.capacity() * sizeof(std::uint16_t);
    }

private:
    static constexpr std::uint16_t empty = UINT16_MAX;

    void take_slot(std::size_t member, std::size_t& next)
    {
        const std::size_t size = m_slots.size();
        const std::size_t offset =
            combine_hash(m_members[member].tag, 1) % size;
        const std::size_t skip =
            combine_hash(m_members[member].tag, 2) % (size - 1) + 1;
        std::size_t slot = 0;
        do
        {
            slot = (offset + next++ * skip) % size;
        } while (m_slots[slot] != empty);
        m_slots[slot] = static_cast<std::uint16_t>(member);
    }

    std::vector<candidate> m_members;
    std::vector<std::uint16_t> m_slots;
};

} // namespace crowlink::bench
