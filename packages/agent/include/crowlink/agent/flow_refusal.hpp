#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// Why a flow was refused or reset.
enum class refusal_reason : std::uint8_t
{
    // Every candidate is at its limit.
    full,
    // Every candidate is draining or judged stalled.
    leaving,
    // The packet belongs to a flow that no upstream knows.
    unknown_flow,
    // The flow's upstream ended or can't be reached.
    upstream_failed,
    // The flow went unanswered while others made progress.
    silent,
    // Another agent owned the flow for longer.
    duplicate,
    // The request could not be completed while its caller waits.
    too_late,
    // The queue of opening packets is full.
    queue_full,
};

constexpr std::string_view to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::full:
        return "full";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::unknown_flow:
        return "unknown_flow";
    case refusal_reason::upstream_failed:
        return "upstream_failed";
    case refusal_reason::silent:
        return "silent";
    case refusal_reason::duplicate:
        return "duplicate";
    case refusal_reason::too_late:
        return "too_late";
    case refusal_reason::queue_full:
        return "queue_full";
    }
    return "unknown";
}

// What a caller is told when its flow is refused or reset.
struct flow_refusal
{
    verdict outcome = verdict::not_run;
    refusal_reason reason = refusal_reason::full;
    // When to retry; zero: at once, with a new flow.
    duration retry_after{};

    friend auto operator<=>(const flow_refusal&, const flow_refusal&) = default;
};

} // namespace crowlink
