#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/request_id.hpp"
#include "crowlink/requests/ticket.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink
{

// One datagram of an attempt of a request. Each part carries the full header,
// because parts may arrive in any order.
struct request_part
{
    request_id id;
    std::uint32_t attempt = 1;
    ticket session_ticket;
    std::uint64_t sequence = 0;
    // The caller will send no sequence of this session below this one again.
    std::uint64_t settled_below = 0;
    // Name of the request's kind in the service's document.
    std::string kind;
    // Whether the caller considers the request idempotent.
    bool idempotent = false;
    // Time left until the deadline when the part was sent.
    duration remaining{};
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::string body;

    friend auto operator<=>(const request_part&, const request_part&) = default;
};

} // namespace crowlink
