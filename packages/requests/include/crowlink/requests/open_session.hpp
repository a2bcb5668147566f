#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// A caller's wish for a session. Idempotent: an agent that remembers the
// secret grants the same session again.
struct open_session
{
    std::uint64_t secret = 0;

    friend auto operator<=>(const open_session&, const open_session&) = default;
};

} // namespace crowlink
