#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
#include "crowlink/requests/run_id.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// An upstream's answer to a run. The verdict is not_run if the run was shed,
// had expired or was cancelled before it started, and may_have_run if it was
// aborted.
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
