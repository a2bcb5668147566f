#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// An observer's decision that the lease of a member has expired.
struct expired_lease
{
    service_id service;
    upstream_id id;
    std::uint64_t sequence = 0;
    // The observer that held the lease, and how long the member was suspected.
    host_id home;
    duration suspected_for{};

    friend auto operator<=>(const expired_lease&,
                            const expired_lease&) = default;
};

} // namespace crowlink
