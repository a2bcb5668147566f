#pragma once

#include "crowlink/agent/held_opening.hpp"
#include "crowlink/base/time.hpp"

#include <cstdint>
#include <vector>

namespace crowlink::internal
{

enum class hold_outcome : std::uint8_t
{
    // Would be completed within its aim.
    in_time,
    // Would be completed after its aim, while its caller still waits.
    late,
    // Can't be completed while its caller waits.
    too_late,
    // Exceeds the bounds of the queue.
    queue_full,
};

constexpr bool is_held(hold_outcome outcome)
{
    return outcome == hold_outcome::in_time || outcome == hold_outcome::late;
}

// What becomes of one held packet.
struct planned_opening
{
    const held_opening* opening = nullptr;
    hold_outcome outcome = hold_outcome::in_time;
    // Until its completion.
    duration expected{};
};

// In the order of their starts; those that are not to be held come last.
using hold_plan = std::vector<planned_opening>;

} // namespace crowlink::internal
