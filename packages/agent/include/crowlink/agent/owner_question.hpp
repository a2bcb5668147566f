#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstddef>
#include <vector>

namespace crowlink
{

// Asks another member of a service which of these flows it has. Any number of
// flows that nobody on their way knew share a question.
struct owner_question
{
    // So that a question about IPv6 flows fits into one datagram of 1,400
    // bytes.
    static constexpr std::size_t most_flows = 24;

    service_id service;
    // The agent that is meant; another one drops the question.
    upstream_tag receiver = 0;
    // Who asks, and gets the answer.
    candidate sender;
    std::vector<flow_key> flows;

    friend auto operator<=>(const owner_question&,
                            const owner_question&) = default;
};

} // namespace crowlink
