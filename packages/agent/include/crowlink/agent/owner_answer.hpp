#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace crowlink
{

// An agent's answer about one flow.
enum class ownership : std::uint8_t
{
    // The agent certainly does not have the flow.
    none,
    // The upstream may hold the flow though the agent does not know it: only
    // delivering a packet of the flow shows that.
    possible,
    owned,
};

constexpr ownership last_ownership = ownership::owned;

// One flow of an answer, identified by the stable hash of its key.
struct stated_ownership
{
    std::uint64_t flow = 0;
    ownership state = ownership::none;

    friend auto operator<=>(const stated_ownership&,
                            const stated_ownership&) = default;
};

// Answers an owner_question, or reports later that a packet has resolved a
// state that was only possible.
struct owner_answer
{
    service_id service;
    // The agent that asked; any other drops the answer.
    upstream_tag receiver = 0;
    // The agent that answers.
    candidate sender;
    std::vector<stated_ownership> flows;

    friend auto operator<=>(const owner_answer&, const owner_answer&) = default;
};

} // namespace crowlink
