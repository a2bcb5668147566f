#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// What a balancer announces of itself, so that agents find where answers for
// callers may go.
struct balancer_record
{
    host_id id;
    incarnation started;
    std::uint64_t sequence = 0;
    // Where the balancer takes answers for callers.
    endpoint answers;
    place_id where;
    upstream_state state = upstream_state::ready;

    friend auto operator<=>(const balancer_record&,
                            const balancer_record&) = default;
};

// The numbers from here on are no services of a document but groups of
// balancers, one for each place.
constexpr std::uint32_t first_balancer_group = 0x80000000U;

// The group in which the balancers of a place are members.
service_id balancer_group(const place_id& where);

// Whether a number is a group of balancers.
inline bool is_balancer_group(service_id id)
{
    return id.value() >= first_balancer_group;
}

// A balancer as a member of its place's group: from here on balancers and
// upstreams are leased, distributed and repaired by the same code.
upstream_record to_member(const balancer_record& record);

} // namespace crowlink
