#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink::replication
{

// A service that an address leads to, and its part of the new flows there.
struct routed_service
{
    endpoint address;
    transport protocol = transport::tcp;
    service_id service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const routed_service&,
                            const routed_service&) = default;
};

} // namespace crowlink::replication
