#pragma once

#include "crowlink/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

struct publisher_settings
{
    // What each node is sent, on average and at once: in no second more than
    // the sum of the two.
    std::uint32_t bytes_a_second = 4096;
    std::uint32_t burst_bytes = 1024;
    // The largest message, framing included.
    std::size_t part_bytes = 2048;
    // An idle stream is sent a digest this often.
    duration digest_every = std::chrono::seconds(2);
    // A node that knows no document yet is refused while this host has not
    // known for so long that its own is the newest.
    duration stale_after = std::chrono::seconds(4);
    // A node that asked while this host may not serve is kept in mind for this
    // long. It exceeds the node's patience with this host by a little.
    duration waiting_timeout = std::chrono::milliseconds(2500);
    // A node that was not heard for this long is forgotten.
    duration node_timeout = std::chrono::seconds(30);
    // Changes that are kept for nodes that lag; one that lags more is asked to
    // attach anew and gets a snapshot of what differs.
    std::size_t change_capacity = 8192;
    // Gone records are kept for this long, to tell nodes that come back.
    duration tombstone_life = std::chrono::hours(3);
    // Nodes that are served at the same time.
    std::size_t node_capacity = 4096;
};

} // namespace crowlink
