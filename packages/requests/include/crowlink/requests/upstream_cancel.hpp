#pragma once

#include "crowlink/requests/run_id.hpp"

#include <compare>

namespace crowlink
{

// An agent's wish that its upstream stop a run, or never start it.
struct upstream_cancel
{
    run_id id;

    friend auto operator<=>(const upstream_cancel&,
                            const upstream_cancel&) = default;
};

} // namespace crowlink
