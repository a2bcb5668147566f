#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Identifies a run at an upstream. Contains the incarnation of the agent so
// that answers to an earlier incarnation are rejected.
struct run_id
{
    incarnation agent;
    std::uint64_t number = 0;

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

} // namespace crowlink
