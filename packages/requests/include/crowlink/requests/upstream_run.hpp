#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/run_id.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// Tells an upstream to run a request. Sent only once, so that the request runs
// at most once.
struct upstream_run
{
    run_id id;
    std::string kind;
    duration remaining{};
    std::string body;

    friend auto operator<=>(const upstream_run&, const upstream_run&) = default;
};

} // namespace crowlink
