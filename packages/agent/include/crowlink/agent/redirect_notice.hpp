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

// One flow of a redirect notice and for how long its owner has had it. Should
// two agents ever own one flow, the one that had it longer keeps it. The one
// of lower tag compares, so that both come to the same end.
struct owned_flow
{
    // In place of the age: it was compared, and the receiver is to yield. The
    // highest age that travels, which is in 32 bits of milliseconds.
    static constexpr duration decided = std::chrono::milliseconds(UINT32_MAX);

    flow_key flow;
    duration age{};

    friend auto operator<=>(const owned_flow&, const owned_flow&) = default;
};

// An owner tells a flow's first candidates where the flow is. Soft state: it
// is forgotten after its lifetime unless it is renewed.
struct redirect_notice
{
    // So that a notice of IPv6 flows fits into one datagram of 1,400 bytes.
    static constexpr std::size_t most_flows = 20;

    service_id service;
    // The agent that is meant; another one drops the notice.
    upstream_tag receiver = 0;
    candidate owner;
    // Zero withdraws: the owner no longer has these flows.
    duration lifetime{};
    std::vector<owned_flow> flows;

    friend auto operator<=>(const redirect_notice&,
                            const redirect_notice&) = default;
};

} // namespace crowlink
