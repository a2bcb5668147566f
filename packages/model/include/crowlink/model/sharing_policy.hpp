#pragma once

#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Which measure of service a policy favours where the two compete.
enum class service_goal : std::uint8_t
{
    // Spread the load as evenly as can be, at the price of more hand-offs.
    balance,
    // Never risk an open flow, at the price of some imbalance.
    continuity,
};

// How a service's flows are shared among its upstreams.
struct sharing_policy
{
    service_goal goal = service_goal::balance;
    // How many upstreams are asked in turn to admit a new flow, 1 to 4.
    std::uint32_t candidates = 3;
    // Time over which a started upstream is brought to its full share.
    duration cold_start = std::chrono::seconds(10);
    // A flow whose packets go unanswered for this long, while other flows of
    // the same upstream progress, is held to be lost. Zero turns this off.
    duration silent_after = std::chrono::seconds(30);

    friend auto operator<=>(const sharing_policy&,
                            const sharing_policy&) = default;
};

} // namespace crowlink
