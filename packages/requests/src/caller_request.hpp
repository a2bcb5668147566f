#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/caller_effects.hpp"
#include "crowlink/requests/outgoing_request.hpp"
#include "crowlink/requests/part_assembly.hpp"
#include "crowlink/requests/ticket.hpp"

#include <cstdint>
#include <vector>

namespace crowlink::internal
{

// State of an attempt.
enum class attempt_state : std::uint8_t
{
    // No final answer; the attempt may still run and be answered.
    outstanding,
    // Proven not to have run; it will not run later either.
    not_run,
    // Ended without proof of whether it ran.
    unknown,
};

// One attempt of a request, with the parts of its answer received so far.
struct caller_attempt
{
    path_index path = 0;
    ticket session_ticket;
    std::uint64_t sequence = 0;
    std::uint32_t sends = 0;
    time_point first_sent{};
    attempt_state state = attempt_state::outstanding;
    part_assembly answer;
};

enum class request_phase : std::uint8_t
{
    // Waits for a path with a usable ticket and room in its window.
    waiting,
    in_flight,
    // Refused; waits for the time of its retry.
    backing_off,
    // Cancelled; waits for the agent's confirmation.
    cancelling,
};

// A request without an outcome.
struct caller_request
{
    std::uint64_t number = 0;
    outgoing_request outgoing;
    time_point deadline{};
    request_phase phase = request_phase::waiting;
    std::vector<caller_attempt> attempts;
    // Contents of the latest refusal.
    answer_reason reason = answer_reason::unreachable;
    duration retry_after{};
};

// Returns the verdict on a request that got no answer, over all its attempts.
verdict verdict_without_answer(const caller_request& request);

bool has_outstanding(const caller_request& request);

// Returns the index of the latest outstanding attempt; there must be one.
std::size_t last_outstanding(const caller_request& request);

} // namespace crowlink::internal
