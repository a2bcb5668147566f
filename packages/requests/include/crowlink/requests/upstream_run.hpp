#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/run_id.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// An agent's order to its upstream to run one request; sent once, never
// resent.
struct upstream_run
{
    run_id id;
    std::string kind;
    duration remaining{};
    std::string body;

    friend auto operator<=>(const upstream_run&, const upstream_run&) = default;
};

} // namespace crowlink
