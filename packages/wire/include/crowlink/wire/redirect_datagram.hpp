#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <chrono>
#include <compare>

namespace crowlink
{

// The owner of a flow tells another agent to pass the flow's packets on to it.
struct redirect_datagram
{
    flow_key flow;
    service_id service;
    // The agent that is meant; another one drops the datagram.
    upstream_tag receiver = 0;
    candidate owner;
    // How long the redirect holds unless it is renewed.
    std::chrono::milliseconds lifetime{0};

    friend auto operator<=>(const redirect_datagram&,
                            const redirect_datagram&) = default;
};

} // namespace crowlink
