#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>

namespace crowlink
{

// The owner of a flow ends a redirect before its lifetime, since the flow
// ended. A redirect that names another owner by now stays.
struct withdrawal_datagram
{
    flow_key flow;
    service_id service;
    // The agent that is meant; another one drops the datagram.
    upstream_tag receiver = 0;
    candidate owner;

    friend auto operator<=>(const withdrawal_datagram&,
                            const withdrawal_datagram&) = default;
};

} // namespace crowlink
