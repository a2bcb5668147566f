#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
#include "crowlink/requests/answer_reason.hpp"
#include "crowlink/requests/request_id.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink
{

// One datagram of the answer to an attempt of a request.
struct answer_part
{
    request_id id;
    std::uint32_t attempt = 1;
    verdict outcome = verdict::may_have_run;
    answer_reason reason = answer_reason::answered;
    duration retry_after{};
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string body;

    friend auto operator<=>(const answer_part&, const answer_part&) = default;
};

} // namespace crowlink
