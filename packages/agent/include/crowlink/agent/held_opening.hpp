#pragma once

#include "crowlink/agent/opening_deadline.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/packet_header.hpp"

#include <cstdint>
#include <type_traits>
#include <vector>

namespace crowlink::internal
{

// An opening packet that waits for room at the upstream.
struct held_opening
{
    // Of the first copy that came; the way to the caller and the payload are
    // those of the latest one.
    packet_header header;
    std::vector<std::uint8_t> payload;
    std::uint32_t sequence = 0;
    // Of the route; 0 is the most urgent.
    std::uint32_t priority = 0;
    // The aim of the route: a packet that can only be served late is held no
    // longer.
    duration aim{};
    opening_deadline deadline;
    time_point since{};
};

static_assert(std::is_nothrow_move_constructible_v<held_opening>,
              "effects refer to payloads, which must stay where they are while "
              "a list of released packets grows");

} // namespace crowlink::internal
