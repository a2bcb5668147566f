#pragma once

#include "crowlink/agent/hold_plan.hpp"
#include "crowlink/base/time.hpp"

namespace crowlink::internal
{

// What an agent would do with an opening packet now.
struct opening_verdict
{
    bool starts = false;
    // What becomes of it in the queue if it does not start.
    hold_outcome outcome = hold_outcome::in_time;
    duration expected{};

    bool can_be_in_time() const
    {
        return starts || outcome == hold_outcome::in_time;
    }
};

} // namespace crowlink::internal
