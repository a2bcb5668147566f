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
    if (table.size() <= max_uncached_members || m_entries.empty())
    {
        return table.chain(flow_hash);
    }
    const std::uint64_t digest = table.digest();
    // The digest is part of the index, so that the chains of a flow in two
    // tables do not evict each other.
    entry& cached = m_entries[(flow_hash ^ digest) & (m_entries.size() - 1)];
    if (cached.flow != flow_hash || cached.table != digest)
    {
        cached = entry{digest, flow_hash, table.order(flow_hash)};
    }
    return table.chain_of(cached.order);
}

} // namespace crowlink
