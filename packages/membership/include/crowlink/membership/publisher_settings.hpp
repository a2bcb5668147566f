#pragma once

#include "crowlink/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

struct publisher_settings
{
    // The average rate and the burst for each node. In no second is a node sent
    // more than their sum.
    std::uint32_t bytes_per_second = 4096;
    std::uint32_t burst_bytes = 1024;
    // The largest message, framing included.
    std::size_t part_bytes = 2048;
    // Joins and other changes that need not be urgent are collected, so that
    // all nodes together are sent about this many messages with them a second,
    // whatever their number. A node gets the first one after a pause at once,
    // and what follows no later than its next digest.
    double ordinary_messages_per_second = 1000;
    // The interval between digests on an idle stream.
    duration digest_interval = std::chrono::seconds(2);
    // A node without a document is not served once this host has not been able
    // to confirm for this long that its own document is the newest.
    duration stale_after = std::chrono::seconds(4);
    // How long the request of a node is kept while this host may not serve. It
    // slightly exceeds the time that a node waits for this host.
    duration waiting_timeout = std::chrono::milliseconds(2500);
    // A node that was not heard for this long is removed.
    duration node_timeout = std::chrono::seconds(30);
    // A version is put in force at a node when all of it is there, so the rate
    // rises as far as needed for a version to be sent within version_time.
    duration version_time = std::chrono::milliseconds(750);
    // The most for that, shared among all nodes. It does not apply any longer
    // once a version has taken version_limit, less than half of the 7 s within
    // which a change must be in force.
    double version_bytes_per_second = 16e6;
    duration version_limit = std::chrono::seconds(3);
    // The number of changes kept for nodes that lag. A node that lags further
    // is told to attach again and gets a snapshot of the differences.
    std::size_t change_capacity = 8192;
    // The same for changed shares, of which one version may have two for each
    // address.
    std::size_t share_change_capacity = 65536;
    // How long gone records are kept, so that nodes that come back learn of
    // them.
    duration tombstone_life = std::chrono::hours(3);
    // The most nodes served at the same time.
    std::size_t node_capacity = 4096;
};

} // namespace crowlink
