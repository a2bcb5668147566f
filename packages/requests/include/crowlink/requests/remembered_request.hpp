#pragma once

#include "crowlink/requests/request_answer.hpp"
#include "crowlink/requests/request_id.hpp"

#include <cstdint>
#include <memory>

namespace crowlink
{

// What is remembered of one sequence of a session.
struct remembered_request
{
    std::uint64_t sequence = 0;
    // The request that it was first used for.
    request_id id;
    // The job that works on it; meaningless once there is an answer.
    std::uint64_t job = 0;
    // Null while it is pending.
    std::unique_ptr<const request_answer> answer;
    // Its place among the answers in the order of their age.
    std::uint64_t answer_number = 0;
};

} // namespace crowlink
