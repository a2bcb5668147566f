#pragma once

#include "crowlink/agent/owner_belief.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace crowlink
{

// What was decided about a flow. Packets of known flows cause no decision.
enum class flow_action : std::uint8_t
{
    admitted,
    adopted,
    handed_off,
    looked_up,
    redirected,
    refused,
    // Neither admitted nor refused: the caller retransmits by itself.
    deferred,
    // Waits in the agent for room at the upstream.
    held,
    reset,
    closed,
    yielded,
    dropped,
};

constexpr std::string_view to_string(flow_action action)
{
    switch (action)
    {
    case flow_action::admitted:
        return "admitted";
    case flow_action::adopted:
        return "adopted";
    case flow_action::handed_off:
        return "handed_off";
    case flow_action::looked_up:
        return "looked_up";
    case flow_action::redirected:
        return "redirected";
    case flow_action::refused:
        return "refused";
    case flow_action::deferred:
        return "deferred";
    case flow_action::held:
        return "held";
    case flow_action::reset:
        return "reset";
    case flow_action::closed:
        return "closed";
    case flow_action::yielded:
        return "yielded";
    case flow_action::dropped:
        return "dropped";
    }
    return "unknown";
}

// One routing or placement decision, for one log line. Cheap to build; it is
// formatted only if its log level is enabled.
struct flow_decision
{
    flow_action action = flow_action::admitted;
    service_id service;
    flow_key flow;
    // The digest of the table that the packet came with, otherwise that of the
    // agent's own table.
    std::uint64_t table = 0;
    // Where the flow goes next; without an address when it goes nowhere.
    candidate chosen;
    // The agent's own load in millionths of the upstream's capacity.
    std::uint32_t load = 0;
    // One word; static storage.
    std::string_view reason;
    // For openings that were held, or refused because they could not be served
    // in time: when the request would be completed, by when it had to be, and
    // how many packets are held. No limit for other decisions.
    std::uint32_t expected_ms = 0;
    std::uint32_t limit_ms = 0;
    std::uint32_t held = 0;
    // For resets of flows of other members.
    std::optional<owner_belief> belief = std::nullopt;

    friend auto operator<=>(const flow_decision&,
                            const flow_decision&) = default;
};

} // namespace crowlink
