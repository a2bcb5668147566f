#pragma once

#include "crowlink/requests/request_answer.hpp"
#include "crowlink/requests/request_id.hpp"

#include <cstdint>
#include <memory>

namespace crowlink
{

// The stored state of one sequence of a session.
struct remembered_request
{
    std::uint64_t sequence = 0;
    // The request for which the sequence was first used.
    request_id id;
    // The job of the pending request; not valid once there is an answer.
    std::uint64_t job = 0;
    // Null while the request is pending.
    std::unique_ptr<const request_answer> answer;
    // Number of the answer in order of age; the oldest is evicted first.
    std::uint64_t answer_number = 0;
};

} // namespace crowlink
