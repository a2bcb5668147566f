#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

// What may be done with the requests of a route after a failure.
enum class request_class : std::uint8_t
{
    // Idempotent, and may be repeated after any failure.
    safe,
    // Runs at most once: repeated only where it has surely not run.
    non_idempotent,
    // Idempotent, with a large answer.
    download,
};

// A service's part of a route's new flows, relative to the other parts.
struct route_share
{
    service_id service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const route_share&, const route_share&) = default;
};

// An address that callers use and the services that its new flows go to. A flow
// that is open stays with its upstream when shares change.
struct route
{
    std::string name;
    endpoint address;
    request_class requests = request_class::safe;
    // After this the caller has given up.
    duration timeout = std::chrono::seconds(30);
    // An answer within this is on time.
    duration aim = std::chrono::seconds(1);
    // 0 is served first.
    std::uint32_t priority = 0;
    std::vector<route_share> shares;

    friend auto operator<=>(const route&, const route&) = default;
};

} // namespace crowlink
