#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace crowlink
{

// One flow of a redirect notice, and how long its owner has had it. If two
// agents own one flow, the one that has had it longer keeps it. Only the agent
// with the lower tag compares the ages, so that both reach the same result.
struct owned_flow
{
    // Replaces the age: the ages were compared, and the receiver is to yield.
    // The highest age on the wire, which has 32 bits of milliseconds.
    static constexpr duration decided = std::chrono::milliseconds(UINT32_MAX);

    flow_key flow;
    duration age{};

    friend auto operator<=>(const owned_flow&, const owned_flow&) = default;
};

// An owner tells a flow's first candidates where the flow is. Soft state: it
// expires after its lifetime unless it is renewed.
struct redirect_notice
{
    // A notice of this many IPv6 flows fits into one datagram of 1,400 bytes.
    static constexpr std::size_t max_flows = 20;

    service_id service;
    // The receiving agent; any other drops the notice.
    upstream_tag receiver = 0;
    candidate owner;
    // Zero withdraws the redirects: the owner no longer has these flows.
    duration lifetime{};
    std::vector<owned_flow> flows;

    friend auto operator<=>(const redirect_notice&,
                            const redirect_notice&) = default;
};

} // namespace crowlink
