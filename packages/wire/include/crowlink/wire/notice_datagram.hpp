#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/verdict.hpp"

#include <chrono>
#include <compare>
#include <cstdint>

namespace crowlink
{

// Why a caller's packet was not served.
enum class notice_reason : std::uint8_t
{
    // Every candidate is at its limits; the flow was not opened.
    overloaded,
    // Every candidate is draining or unreachable; the flow was not opened.
    unavailable,
    // No agent knows the flow to which the packet belongs.
    unknown_flow,
    // The flow went silent: something between its ends lost track of it.
    silent,
    // The flow's upstream is gone.
    upstream_gone,
    // The balancer has no service at the address, or no upstream for it.
    no_service,
};

// Tells a caller that its packet was refused or that its flow was ended.
struct notice_datagram
{
    flow_key flow;
    verdict outcome = verdict::may_have_run;
    notice_reason reason = notice_reason::overloaded;
    // When the caller may try again; zero means at once.
    std::chrono::milliseconds retry_after{0};
    // For TCP: the sequence and acknowledgement numbers of the RST segment.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;

    friend auto operator<=>(const notice_datagram&,
                            const notice_datagram&) = default;
};

} // namespace crowlink
