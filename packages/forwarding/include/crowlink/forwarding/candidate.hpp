#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/hash.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Identifies an upstream in packets: 32 bits of the hash of its id and
// incarnation. An agent does not accept packets for another tag: it
// re-addresses TCP packets for an earlier incarnation of its upstream, forwards
// other opening packets to the next candidate, and drops the rest.
using upstream_tag = std::uint32_t;

inline upstream_tag tag_of(const upstream_id& id, incarnation started)
{
    // The incarnation is not used as the seed: XXH3 only XORs the seed into
    // texts of up to three characters, so that the tags of "u2" and "u3" of two
    // incarnations would collide.
    return static_cast<upstream_tag>(
        combine_hash(stable_hash(id.value()), started.value()));
}

// An agent that may own a flow.
struct candidate
{
    endpoint agent;
    upstream_tag tag = 0;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

} // namespace crowlink
