#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/hash.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Names an upstream in packets: 32 bits of the hash of its id and incarnation.
// An agent drops what does not carry its own tag.
using upstream_tag = std::uint32_t;

inline upstream_tag tag_of(const upstream_id& id, incarnation started)
{
    // Not the incarnation as a seed: XXH3 only XORs it into texts of up to
    // three characters, so that "u2" and "u3" of two starts would be one tag.
    return static_cast<upstream_tag>(
        combine_hash(stable_hash(id.value()), started.value()));
}

// One agent that may take a flow.
struct candidate
{
    endpoint agent;
    upstream_tag tag = 0;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

} // namespace crowlink
