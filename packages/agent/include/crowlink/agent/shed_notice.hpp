#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>

namespace crowlink
{

// An agent that judges its upstream stalled requests permission to take no new
// flow. It asks one agent, the head of a fixed chain, which grants this to at
// most a third of the service's upstreams; a false judgement that spreads can't
// take more out of service.
struct shed_request
{
    service_id service;
    // The receiving agent; any other drops the request.
    upstream_tag receiver = 0;
    candidate sender;

    friend auto operator<=>(const shed_request&, const shed_request&) = default;
};

// Permission to shed for a time. A request that isn't granted gets no answer.
struct shed_grant
{
    service_id service;
    upstream_tag receiver = 0;
    duration lifetime{};

    friend auto operator<=>(const shed_grant&, const shed_grant&) = default;
};

} // namespace crowlink
