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

// The data plane of one traffic thread of a balancer. Besides its counters it
// holds a cache of chains, which does not affect decisions; each thread has its
// own instance. It does not allocate after construction.
class traffic_path
{
public:
    // Number of cache entries of 32 bytes; covers the busy flows of a thread.
    static constexpr std::size_t default_cached_chains = 16384;

    // `return_to` is the address of a socket of this host, to which agents send
    // answers for callers. `cached_chains` is the capacity of the chain cache.
    traffic_path(const key_ring& keys, const endpoint& return_to,
                 std::size_t cached_chains = default_cached_chains);

    // Encodes a caller's packet into the buffer, addressed to the head of its
    // chain.
    tl::expected<routed_packet, route_drop>
    route(const forwarding_set& set, const caller_packet& packet,
          std::span<std::uint8_t> buffer);

    // Decodes a datagram from an agent. An invalid datagram, or one that is not
    // for a caller, is counted and dropped, and the result is empty. Payloads
    // refer to `bytes`.
    std::optional<caller_answer> answer(std::span<const std::uint8_t> bytes);

    const traffic_counts& counts() const { return m_counts; }

private:
    tl::unexpected<route_drop> drop(route_drop reason);

    datagram_codec m_codec;
    chain_cache m_chains;
    endpoint m_return_to;
    // Counts packets that can't name all services, so that a caller's next one
    // names others.
    std::uint32_t m_turn = 0;
    traffic_counts m_counts;
};

// The decision that `route` makes for a flow with this set, for logs and for
// `explain`.
route_decision explain(const forwarding_set& set, const flow_key& flow);

} // namespace crowlink
