#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace crowlink
{

// What an agent says of a flow that it was asked about.
enum class ownership : std::uint8_t
{
    // It surely does not have the flow.
    none,
    // Its upstream may hold the flow though the agent does not know it: only a
    // packet of the flow shows that.
    possible,
    owned,
};

constexpr ownership last_ownership = ownership::owned;

// One flow of an answer, by the stable hash of its key.
struct stated_ownership
{
    std::uint64_t flow = 0;
    ownership state = ownership::none;

    friend auto operator<=>(const stated_ownership&,
                            const stated_ownership&) = default;
};

// Answers an owner_question, or tells later that a packet has shown what was
// only possible then.
struct owner_answer
{
    service_id service;
    // The agent that asked; another one drops the answer.
    upstream_tag receiver = 0;
    // Who answers.
    candidate sender;
    std::vector<stated_ownership> flows;

    friend auto operator<=>(const owner_answer&, const owner_answer&) = default;
};

} // namespace crowlink
