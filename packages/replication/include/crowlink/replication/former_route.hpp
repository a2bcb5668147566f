#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"

#include <chrono>
#include <compare>

namespace crowlink::replication
{

// A service to which an address led before its services or weights changed:
// open flows of the address may still be there.
struct former_route
{
    endpoint address;
    transport protocol = transport::tcp;
    service_id service;
    // When a version last changed that, on the clock of the log.
    std::chrono::milliseconds changed_at{};

    friend auto operator<=>(const former_route&, const former_route&) = default;
};

} // namespace crowlink::replication
