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
    return static_cast<upstream_tag>(stable_hash(id.value(), started.value()));
}

// One agent that may take a flow.
struct candidate
{
    endpoint agent;
    upstream_tag tag = 0;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

} // namespace crowlink
