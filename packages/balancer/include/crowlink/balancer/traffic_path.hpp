#pragma once

#include "crowlink/balancer/caller_answer.hpp"
#include "crowlink/balancer/chain_cache.hpp"
#include "crowlink/balancer/route_decision.hpp"
#include "crowlink/balancer/route_drop.hpp"
#include "crowlink/balancer/routed_packet.hpp"
#include "crowlink/balancer/traffic_counts.hpp"
#include "crowlink/forwarding/forwarding_set.hpp"
#include "crowlink/packet/caller_packet.hpp"
#include "crowlink/wire/datagram_codec.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <tl/expected.hpp>

namespace crowlink
{

// What one traffic thread of a balancer decides. Beyond its counts it keeps a
// cache of chains, which no decision depends on; each thread has its own. It
// does not allocate after its construction.
class traffic_path
{
public:
    // Entries of 32 bytes; enough for the busy flows of a thread.
    static constexpr std::size_t default_cached_chains = 16384;

    // Agents send answers for callers to `return_to`, a socket of this host.
    traffic_path(const key_ring& keys, const endpoint& return_to,
                 std::size_t cached_chains = default_cached_chains);

    // Encodes a caller's packet into the buffer for the head of its chain.
    tl::expected<routed_packet, route_drop>
    route(const forwarding_set& set, const caller_packet& packet,
          std::span<std::uint8_t> buffer);

    // Reads what an agent sent; empty if it was dropped and counted. Payloads
    // are views into the bytes.
    std::optional<caller_answer> answer(std::span<const std::uint8_t> bytes);

    const traffic_counts& counts() const { return m_counts; }

private:
    tl::unexpected<route_drop> drop(route_drop reason);

    datagram_codec m_codec;
    chain_cache m_chains;
    endpoint m_return_to;
    traffic_counts m_counts;
};

// The decision that `route` takes for a flow by this set, for logs and for
// `explain`.
route_decision explain(const forwarding_set& set, const flow_key& flow);

} // namespace crowlink
