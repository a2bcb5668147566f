#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace crowlink::placement
{

enum class caller_state : std::uint8_t
{
    // The first request has no answer yet.
    opening,
    open,
    // Ended in order, broken, or refused for good.
    done,
};

// A flow as its caller sees it.
struct caller_flow
{
    static constexpr std::size_t no_upstream = static_cast<std::size_t>(-1);

    flow_key key;
    std::size_t service = 0;
    duration lifetime{};
    caller_state state = caller_state::opening;
    time_point ends{};
    // The request that is waited for, when it was first sent and how often.
    std::uint32_t sequence = 0;
    bool waiting = false;
    bool finishing = false;
    time_point asked{};
    std::uint32_t tries = 0;
    // New attempts after a refusal.
    std::uint32_t attempt = 0;
    // Where it was delivered last.
    std::size_t upstream = no_upstream;
    // Its upstream crashed or stalled under it.
    bool disturbed = false;
};

} // namespace crowlink::placement
