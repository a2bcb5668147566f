#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// The right to have requests run by one agent incarnation, which alone honours
// it. The session is numbered by the agent and never reused; the secret was
// drawn by the caller, so that no other caller can guess a ticket.
struct ticket
{
    incarnation issued_by;
    std::uint64_t session = 0;
    std::uint64_t secret = 0;

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

} // namespace crowlink
