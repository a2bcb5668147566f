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

// What is known of one attempt.
enum class attempt_state : std::uint8_t
{
    // No final word on it: it may still run, and be answered.
    outstanding,
    // Proven not to have run, now and in the future.
    not_run,
    // Ended with no proof either way.
    unknown,
};

// One attempt of a request: its right to run, and the answer as it arrives.
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
    // Waits for a path with a ticket and room.
    waiting,
    in_flight,
    // Refused, and to be tried again.
    backing_off,
    // Cancelled, and waits for the agent's word.
    cancelling,
};

// One request without an outcome.
struct caller_request
{
    std::uint64_t number = 0;
    outgoing_request outgoing;
    time_point deadline{};
    request_phase phase = request_phase::waiting;
    std::vector<caller_attempt> attempts;
    // What the latest refusal said.
    answer_reason reason = answer_reason::unreachable;
    duration retry_after{};
};

// The verdict on all attempts of a request that got no answer.
verdict verdict_without_answer(const caller_request& request);

bool has_outstanding(const caller_request& request);

// The index of the latest attempt that is outstanding; there must be one.
std::size_t last_outstanding(const caller_request& request);

} // namespace crowlink::internal
