#pragma once

#include "crowlink/requests/run_id.hpp"

#include <compare>

namespace crowlink
{

// Asks an upstream to stop a run, or not to start it.
struct upstream_cancel
{
    run_id id;

    friend auto operator<=>(const upstream_cancel&,
                            const upstream_cancel&) = default;
};

} // namespace crowlink
