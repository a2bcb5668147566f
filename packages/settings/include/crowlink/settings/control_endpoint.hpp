#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// Where a node reaches one control host.
struct control_endpoint
{
    host_id host;
    place_id place;
    region_id region;
    endpoint address;
    // The CURVE public key, Z85; empty where keys are not in use.
    std::string public_key;

    friend auto operator<=>(const control_endpoint&,
                            const control_endpoint&) = default;
};

} // namespace crowlink
