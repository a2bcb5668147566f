#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Authorizes a caller to have requests run by one agent incarnation; no other
// incarnation accepts the ticket. The agent assigns the session number and
// never reuses it. The caller chooses the secret at random, so that no other
// caller can guess the ticket.
struct ticket
{
    incarnation issued_by;
    std::uint64_t session = 0;
    std::uint64_t secret = 0;

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

} // namespace crowlink
