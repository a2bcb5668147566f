#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace crowlink
{

// What a balancer announces about itself, so that agents know where to send
// answers for callers.
struct balancer_record
{
    host_id id;
    incarnation started;
    std::uint64_t sequence = 0;
    // Where the balancer accepts answers for callers.
    endpoint answers;
    place_id where;
    upstream_state state = upstream_state::ready;
    // The capacity of its link, see link_weight.
    std::uint32_t weight = 100;

    friend auto operator<=>(const balancer_record&,
                            const balancer_record&) = default;
};

// Service ids from here on denote balancer groups, one for each data centre,
// and not services of a document.
constexpr std::uint32_t first_balancer_group = 0x80000000U;

// The group that contains the balancers of a data centre.
service_id balancer_group(const place_id& where);

// Whether a service id denotes a balancer group.
inline bool is_balancer_group(service_id id)
{
    return id.value() >= first_balancer_group;
}

// The weight that a balancer announces: the capacity of its link in Mbit/s,
// rounded, 1 to 1,000. An unknown capacity yields the default weight, 100.
std::uint32_t link_weight(std::optional<double> mbps);

// Converts a balancer to a member of its data centre's group. Leases,
// distribution and repair treat balancers and upstreams alike.
upstream_record to_member(const balancer_record& record);

} // namespace crowlink
