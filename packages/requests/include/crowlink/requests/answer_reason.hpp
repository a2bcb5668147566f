#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// Reason for the outcome of a request. The values are part of the wire format.
enum class answer_reason : std::uint8_t
{
    // The upstream answered.
    answered = 0,
    // The agent's queue or memory is full, the expected wait exceeds its limit
    // or the time left, or the caller has too many outstanding requests.
    overloaded = 1,
    // The deadline passed.
    expired = 2,
    // The caller cancelled the request.
    cancelled = 3,
    // The ticket belongs to another agent incarnation or a forgotten session.
    stale_ticket = 4,
    // The service has no such kind, or the caller wrongly marked the request
    // as idempotent.
    wrong_kind = 5,
    // The upstream failed or did not answer in time.
    upstream_lost = 6,
    // The upstream refused the request or aborted its run.
    upstream_refused = 7,
    // The request ran, but its answer is no longer stored.
    answer_lost = 8,
    // No agent was reached before the deadline.
    unreachable = 9,
    // The body or the name of the kind exceeds its size limit.
    too_large = 10,
    // The agent accepts no new work; the caller should open another flow.
    draining = 11,
};

constexpr answer_reason last_answer_reason = answer_reason::draining;

std::string_view to_string(answer_reason reason);

} // namespace crowlink
