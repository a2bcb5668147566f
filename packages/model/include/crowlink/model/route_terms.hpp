#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/model/request_class.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// What the callers of a route need: the class of their requests, how long they
// wait, and how urgent they are relative to the callers of other routes.
struct route_terms
{
    request_class requests = request_class::safe;
    // After this the caller has given up.
    duration timeout = std::chrono::seconds(30);
    // An answer within this is on time.
    duration aim = std::chrono::seconds(1);
    // 0 is served first.
    std::uint32_t priority = 0;

    friend auto operator<=>(const route_terms&, const route_terms&) = default;
};

} // namespace crowlink
