#pragma once

#include "crowlink/requests/request_answer.hpp"
#include "crowlink/requests/request_id.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// The final outcome of a request. The verdict covers all its attempts.
struct request_outcome
{
    request_id id;
    request_answer answer;
    // Number of attempts made, each with its own sequence.
    std::uint32_t attempts = 0;

    friend auto operator<=>(const request_outcome&,
                            const request_outcome&) = default;
};

} // namespace crowlink
