#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// Why a request ended as it did. The numbers travel in messages.
enum class answer_reason : std::uint8_t
{
    // The upstream answered.
    answered = 0,
    // The agent's queue is full, or its wait is longer than the time left.
    overloaded = 1,
    // The deadline passed.
    expired = 2,
    // The caller cancelled it.
    cancelled = 3,
    // The ticket is of another agent incarnation, or of a forgotten session.
    stale_ticket = 4,
    // The service has no such kind, or the kind is not idempotent as claimed.
    wrong_kind = 5,
    // The upstream died or fell silent while it ran.
    upstream_lost = 6,
    // The upstream refused or broke it off.
    upstream_refused = 7,
    // It ran, but its answer is no longer remembered.
    answer_lost = 8,
    // No agent could be reached in time.
    unreachable = 9,
    // The body or the kind's name is longer than a request may be.
    too_large = 10,
    // The agent takes no new work: the caller had better open another flow.
    draining = 11,
};

constexpr answer_reason last_answer_reason = answer_reason::draining;

std::string_view to_string(answer_reason reason);

} // namespace crowlink
