#pragma once

#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/forwarding/member_order.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crowlink
{

// A direct-mapped cache for the chains of services with many members, since
// computing a chain takes time proportional to their number. An entry is a pure
// function of its key (the table's digest and the flow's hash), so that a cache
// miss changes no decision. When two flows map to the same entry, the later one
// replaces the earlier one.
class chain_cache
{
public:
    // For tables of at most this many members, computing a chain is faster than
    // a cache look-up: docs/design/forwarding.md.
    static constexpr std::size_t max_uncached_members = 24;

    // The capacity is a number of entries, rounded up to a power of two; zero
    // disables the cache.
    explicit chain_cache(std::size_t capacity);

    // Returns the same chain as `table.chain`. Does not allocate.
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
