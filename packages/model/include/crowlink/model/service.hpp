#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/model/address_share.hpp"
#include "crowlink/model/former_address.hpp"
#include "crowlink/model/request_kind.hpp"
#include "crowlink/model/sharing_policy.hpp"
#include "crowlink/model/target_limits.hpp"

#include <compare>
#include <string>
#include <vector>

namespace crowlink
{

// A service as the operators declare it.
struct service
{
    service_id id;
    std::string name;
    transport protocol = transport::udp;
    // The addresses that callers use; no two services share one.
    std::vector<endpoint> addresses;
    // The addresses of routes that lead here, sorted; see with_shares.
    std::vector<address_share> shares;
    // Of those of `addresses` that led to other services before; sorted.
    std::vector<former_address> former{};
    target_limits limits;
    sharing_policy sharing;
    // Empty for a service whose flows are not requests.
    std::vector<request_kind> kinds;

    friend auto operator<=>(const service&, const service&) = default;
};

} // namespace crowlink
