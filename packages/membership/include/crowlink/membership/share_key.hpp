#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// Identifies the part that a service has of one address.
struct share_key
{
    service_id service;
    endpoint address;

    friend auto operator<=>(const share_key&, const share_key&) = default;
};

} // namespace crowlink
