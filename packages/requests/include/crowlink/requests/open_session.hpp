#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// Asks an agent for a session. Idempotent: an agent that knows the secret
// grants the same session again.
struct open_session
{
    std::uint64_t secret = 0;

    friend auto operator<=>(const open_session&, const open_session&) = default;
};

} // namespace crowlink
