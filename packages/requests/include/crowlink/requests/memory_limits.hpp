#pragma once

#include "crowlink/base/time.hpp"

#include <compare>
#include <cstddef>

namespace crowlink
{

// What an at_most_once memory may hold.
struct memory_limits
{
    std::size_t sessions = 20000;
    // Remembered answers' body bytes; beyond, the oldest are forgotten.
    std::size_t answer_bytes = std::size_t{16} << 20U;
    // A session that was not used for this long may be forgotten; until then
    // new ones are refused if there is no room.
    duration session_idle_timeout = std::chrono::seconds(10);

    friend auto operator<=>(const memory_limits&,
                            const memory_limits&) = default;
};

} // namespace crowlink
