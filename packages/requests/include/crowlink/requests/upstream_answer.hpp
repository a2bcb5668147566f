#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
#include "crowlink/requests/run_id.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// An upstream's answer to a run. Verdict not_run: it was shed, had expired or
// was cancelled before it started; may_have_run: it was broken off.
struct upstream_answer
{
    run_id id;
    verdict outcome = verdict::may_have_run;
    duration retry_after{};
    std::string body;

    friend auto operator<=>(const upstream_answer&,
                            const upstream_answer&) = default;
};

} // namespace crowlink
