#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/model/route_terms.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

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
    route_terms terms;
    std::vector<route_share> shares;

    friend auto operator<=>(const route&, const route&) = default;
};

} // namespace crowlink
