#include "crowlink/balancer/chain_cache.hpp"

#include <bit>

namespace crowlink
{

chain_cache::chain_cache(std::size_t capacity)
    : m_entries(capacity == 0 ? 0 : std::bit_ceil(capacity))
{
}

candidate_chain chain_cache::chain(const forwarding_table& table,
                                   std::uint64_t flow_hash)
{
    if (table.size() <= computed_limit || m_entries.empty())
    {
        return table.chain(flow_hash);
    }
    const std::uint64_t digest = table.digest();
    // The digest takes part, so that a flow's chains by two tables do not
    // replace each other.
    entry& found = m_entries[(flow_hash ^ digest) & (m_entries.size() - 1)];
    if (found.flow != flow_hash || found.table != digest)
    {
        found = entry{digest, flow_hash, table.order(flow_hash)};
    }
    return table.chain_of(found.order);
}

} // namespace crowlink
