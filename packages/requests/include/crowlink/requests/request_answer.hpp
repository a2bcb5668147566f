#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
#include "crowlink/requests/answer_reason.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// The whole answer to a request. The body belongs to verdict `ran` alone; a
// refusal says in `retry_after` when to come back.
struct request_answer
{
    verdict outcome = verdict::may_have_run;
    answer_reason reason = answer_reason::answered;
    duration retry_after{};
    std::string body;

    friend auto operator<=>(const request_answer&,
                            const request_answer&) = default;
};

} // namespace crowlink
