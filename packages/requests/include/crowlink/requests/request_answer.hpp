#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
#include "crowlink/requests/answer_reason.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// The complete answer to a request. Only an answer with verdict `ran` has a
// body; `retry_after` is the delay after which a refused request may be
// retried.
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
