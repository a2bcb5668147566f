#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstddef>
#include <vector>

namespace crowlink
{

// Asks another member of a service which of these flows it has. Several unknown
// flows share a question.
struct owner_question
{
    // A question about this many IPv6 flows fits into one datagram of 1,400
    // bytes.
    static constexpr std::size_t max_flows = 24;

    service_id service;
    // The receiving agent; any other drops the question.
    upstream_tag receiver = 0;
    // The agent that asks and gets the answer.
    candidate sender;
    std::vector<flow_key> flows;

    friend auto operator<=>(const owner_question&,
                            const owner_question&) = default;
};

} // namespace crowlink
