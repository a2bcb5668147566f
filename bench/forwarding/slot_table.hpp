#pragma once

#include "crowlink/forwarding/forwarding_table.hpp"

#include <cstdint>
#include <vector>

namespace crowlink::bench
{

// The alternative to computing a chain for each packet: flows are hashed to
// slots, and the rendezvous order of each slot is computed beforehand.
class slot_table
{
public:
    slot_table(const forwarding_table& table,
               const std::vector<candidate>& members, std::size_t slots)
        : m_members(members), m_mask(slots - 1), m_places(slots)
    {
        for (std::size_t slot = 0; slot < slots; ++slot)
        {
            fill(slot, table.chain(combine_hash(slot, 0)));
        }
    }

    candidate_chain chain(std::uint64_t flow_hash) const
    {
        candidate_chain found;
        for (const std::uint16_t place : m_places[flow_hash & m_mask])
        {
            found.push_back(m_members[place]);
        }
        return found;
    }

    std::size_t memory() const
    {
        return m_members.capacity() * sizeof(candidate) +
               m_places.capacity() * sizeof(places);
    }

private:
    static constexpr std::size_t length = 3;
    using places = std::array<std::uint16_t, length>;

    void fill(std::size_t slot, const candidate_chain& chain)
    {
        for (std::size_t i = 0; i < length; ++i)
        {
            const auto found =
                std::find(m_members.begin(), m_members.end(), chain[i]);
            m_places[slot][i] =
                static_cast<std::uint16_t>(found - m_members.begin());
        }
    }

    std::vector<candidate> m_members;
    std::size_t m_mask;
    std::vector<places> m_places;
};

} // namespace crowlink::bench
