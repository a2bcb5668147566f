#pragma once

#include "crowlink/base/time.hpp"

#include <chrono>
#include <cstddef>

namespace crowlink
{

// Up to this many control hosts, a node keeps a connection to each of them and
// stays with the one that served it first. With more, connections and streams
// would grow with nodes times control hosts and gather at the hosts that the
// settings name: a node then connects to those that it uses, and moves to the
// first in its own order.
inline constexpr std::size_t most_fully_connected = 6;

struct connection_settings
{
    std::size_t fully_connected = most_fully_connected;
    // Beyond that, the connections that a node keeps at least. A node uses two,
    // to its publisher and to the home of its record; where these are one host,
    // the second connection is a spare one.
    std::size_t kept = 2;
    // A connection that is not used any more is closed after this time, so that
    // the last messages pass.
    duration release_delay = std::chrono::seconds(3);
    // A host whose connection was lost counts as unreachable for this long,
    // unless it is connected again before.
    duration retry_wait = std::chrono::seconds(1);
};

} // namespace crowlink
