#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"

#include <cstdint>
#include <string_view>

namespace crowlink
{

class log_line;

// The reason for a routing decision.
enum class route_reason : std::uint8_t
{
    // Forwarded to the head of the current chain.
    head_of_chain,
    // Forwarded to the head of the previous table's chain, since no upstream is
    // ready in the current one.
    previous_chain,
    // Not forwarded; see route_drop.
    no_service,
    no_candidate,
};

std::string_view to_string(route_reason reason);

// The routing decision for one flow, for logs and `explain`.
struct route_decision
{
    flow_key flow;
    // Zero if no service has the address.
    service_id service;
    // The digest of the current table.
    std::uint64_t table = 0;
    candidate_chain current;
    candidate_chain previous;
    // The destination of the packet; all zero if it is not forwarded.
    candidate chosen;
    route_reason reason = route_reason::no_service;

    friend bool operator==(const route_decision&,
                           const route_decision&) = default;
};

// Formats a decision as a log line.
log_line to_log_line(const route_decision& decision);

} // namespace crowlink
