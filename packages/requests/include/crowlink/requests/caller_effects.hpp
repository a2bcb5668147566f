#pragma once

#include "crowlink/requests/request_outcome.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

// Index of one of a caller's flows to the service. A new index requires a new
// flow, that is, a socket with another port.
using path_index = std::uint32_t;

// A datagram to send on a path.
struct caller_datagram
{
    path_index path = 0;
    std::string bytes;

    friend auto operator<=>(const caller_datagram&,
                            const caller_datagram&) = default;
};

// Actions requested by a request_caller. Its owner performs them and clears
// the structure.
struct caller_effects
{
    std::vector<caller_datagram> datagrams;
    std::vector<request_outcome> outcomes;
    // Paths that are no longer used; their sockets can be closed.
    std::vector<path_index> closed;

    friend bool operator==(const caller_effects&,
                           const caller_effects&) = default;
};

} // namespace crowlink
