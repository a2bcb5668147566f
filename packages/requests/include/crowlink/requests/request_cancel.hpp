#pragma once

#include "crowlink/requests/request_id.hpp"
#include "crowlink/requests/ticket.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Asks an agent not to run an attempt, or to stop it if it is running.
struct request_cancel
{
    request_id id;
    std::uint32_t attempt = 1;
    ticket session_ticket;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const request_cancel&,
                            const request_cancel&) = default;
};

} // namespace crowlink
