#pragma once

#include "crowlink/balancer/caller_answer.hpp"
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

// What one traffic thread of a balancer decides. It keeps nothing but its
// counts and allocates nothing; each thread has its own.
class traffic_path
{
public:
    // Agents send answers for callers to `return_to`, a socket of this host.
    traffic_path(const key_ring& keys, const endpoint& return_to);

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
    endpoint m_return_to;
    traffic_counts m_counts;
};

// The decision that `route` takes for a flow by this set, for logs and for
// `explain`.
route_decision explain(const forwarding_set& set, const flow_key& flow);

} // namespace crowlink
