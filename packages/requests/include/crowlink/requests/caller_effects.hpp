#pragma once

#include "crowlink/requests/request_outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

// Index of one of a caller's flows to the service. A new index asks for a new
// flow: a socket with another port.
using path_index = std::uint32_t;

// A datagram to send on one path.
struct caller_datagram
{
    path_index path = 0;
    std::string bytes;

    friend auto operator<=>(const caller_datagram&,
                            const caller_datagram&) = default;
};

// What a request_caller wants done; the shell carries it out and clears it.
struct caller_effects
{
    std::vector<caller_datagram> datagrams;
    std::vector<request_outcome> outcomes;
    // Paths that will never be used again.
    std::vector<path_index> closed;

    friend bool operator==(const caller_effects&,
                           const caller_effects&) = default;
};

} // namespace crowlink
