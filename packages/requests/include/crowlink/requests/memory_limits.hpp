#pragma once

#include "crowlink/base/time.hpp"

#include <compare>
#include <cstddef>

namespace crowlink
{

// Limits of an at_most_once memory.
struct memory_limits
{
    std::size_t sessions = 20000;
    // Body bytes of stored answers. Beyond this limit, the oldest answers are
    // forgotten.
    std::size_t answer_bytes = std::size_t{16} << 20U;
    // A session that has been idle for this long and has no pending request may
    // be forgotten. If the limit is reached and the least recently used session
    // may not be forgotten, new sessions are refused.
    duration session_idle_timeout = std::chrono::seconds(10);

    friend auto operator<=>(const memory_limits&,
                            const memory_limits&) = default;
};

} // namespace crowlink
