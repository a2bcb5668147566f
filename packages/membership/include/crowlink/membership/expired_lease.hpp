#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>

namespace crowlink
{

// An observer's decision that a member is not heard any more.
struct expired_lease
{
    service_id service;
    upstream_id id;
    // The observer that held the lease, and how long it has been in doubt.
    host_id home;
    duration doubted_for{};

    friend auto operator<=>(const expired_lease&,
                            const expired_lease&) = default;
};

} // namespace crowlink
