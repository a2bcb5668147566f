#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Numbers one run at an upstream. The incarnation is that of the agent, so
// that answers to an agent's earlier life are not taken for its own.
struct run_id
{
    incarnation agent;
    std::uint64_t number = 0;

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

} // namespace crowlink
