#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// One control host, as the other control hosts reach it.
struct control_peer
{
    host_id host;
    place_id place;
    region_id region;
    endpoint address;
    // The CURVE public key, Z85; empty where keys are not in use.
    std::string public_key;
    // Whether the host votes when the system is started for the first time.
    bool voter = true;

    friend auto operator<=>(const control_peer&, const control_peer&) = default;
};

} // namespace crowlink
