#pragma once

#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/forwarding/member_order.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crowlink
{

// Remembers chains of services with many members, whose computation takes time
// in proportion to them. An entry is a pure function of its key, the table's
// digest and the flow's hash: losing or never having one changes no decision.
// Of two flows that share an entry the later one replaces the earlier one.
class chain_cache
{
public:
    // Tables of at most this many members are quicker to compute than to look
    // up: docs/design/forwarding.md.
    static constexpr std::size_t computed_limit = 24;

    // The capacity is rounded up to a power of two; zero turns the cache off.
    explicit chain_cache(std::size_t capacity);

    // The same as the table's own chain. Does not allocate.
    candidate_chain chain(const forwarding_table& table,
                          std::uint64_t flow_hash);

    std::size_t memory() const { return m_entries.capacity() * sizeof(entry); }

private:
    struct entry
    {
        std::uint64_t table = 0;
        std::uint64_t flow = 0;
        member_order order;
    };

    std::vector<entry> m_entries;
};

} // namespace crowlink
