#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"

#include <cstdint>
#include <string_view>

namespace crowlink
{

class log_line;

// Why a flow's packets go where they go.
enum class route_reason : std::uint8_t
{
    // To the head of the current chain.
    head_of_chain,
    // No upstream is ready now; to the head of the chain by the table before.
    previous_chain,
    // Not forwarded: see route_drop.
    no_service,
    no_candidate,
};

std::string_view to_string(route_reason reason);

// A decision for one flow, as logs and `explain` show it.
struct route_decision
{
    flow_key flow;
    // Zero without a service.
    service_id service;
    // The digest of the table.
    std::uint64_t table = 0;
    candidate_chain current;
    candidate_chain previous;
    // Where the packet goes; all zero if it is not forwarded.
    candidate chosen;
    route_reason reason = route_reason::no_service;

    friend bool operator==(const route_decision&,
                           const route_decision&) = default;
};

// The log line of a decision.
log_line to_log_line(const route_decision& decision);

} // namespace crowlink
