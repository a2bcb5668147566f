#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// A service to which an address led a short time ago: flows that were open then
// may still be there.
struct former_service
{
    endpoint address;
    transport protocol = transport::tcp;
    service_id service;

    friend auto operator<=>(const former_service&,
                            const former_service&) = default;
};

} // namespace crowlink
