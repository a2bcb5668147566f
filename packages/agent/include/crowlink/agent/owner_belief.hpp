#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// What showed an agent that another member does not serve a flow.
enum class reset_evidence : std::uint8_t
{
    // The caller retransmitted.
    retransmission,
    // The member is in a data centre that this host gives up.
    given_up,
    // Every member denied the flow.
    denied,
};

constexpr std::string_view to_string(reset_evidence evidence)
{
    switch (evidence)
    {
    case reset_evidence::retransmission:
        return "retransmission";
    case reset_evidence::given_up:
        return "given_up";
    default:
        return "denied";
    }
}

// What an agent believed of a flow's owner when it reset the caller of a flow
// that it does not own itself.
struct owner_belief
{
    // The flow's owner, or the first of the silent members that may own it; no
    // address if every member denied the flow.
    candidate owner;
    // Of the owner's record.
    std::uint64_t sequence = 0;
    // How long the agent's views have shown the owner as silent.
    duration age{};
    // How long it has left this agent's questions unanswered.
    duration unanswered{};
    // How many silent members may own the flow.
    std::uint32_t silent_members = 0;
    reset_evidence evidence = reset_evidence::denied;

    friend auto operator<=>(const owner_belief&, const owner_belief&) = default;
};

} // namespace crowlink
