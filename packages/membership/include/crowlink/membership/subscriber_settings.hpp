#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/interest.hpp"
#include "crowlink/membership/observer_info.hpp"

#include <chrono>
#include <vector>

namespace crowlink
{

struct subscriber_settings
{
    interest wants;
    // Every control host; the subscriber orders them by itself.
    std::vector<observer_info> publishers;
    // The node's own name and region; the region's publishers are preferred.
    host_id self;
    region_id region;
    // A publisher that was silent for this long is left for another one.
    // With the time to attach elsewhere it stays below the 7 s in which a
    // change must be in force, and above two digests.
    duration silence_timeout = std::chrono::milliseconds(4500);
    duration answer_timeout = std::chrono::seconds(2);
    // How long the node stays with a publisher that keeps its request but may
    // not serve yet. An election takes less; one that is cut off is left.
    duration kept_patience = std::chrono::seconds(2);
    duration alive_every = std::chrono::seconds(5);
    // A publisher that has not known for so long that its document is the
    // newest is left for another one, at most once in the silence timeout: when
    // all are cut off from each other, any of them still tells of members.
    duration stale_after = std::chrono::seconds(4);
    // A publisher whose document stays older than the node's is left.
    duration behind_timeout = std::chrono::seconds(10);
    // Waits between attachments, doubled up to the limit, with jitter.
    duration backoff_first = std::chrono::milliseconds(500);
    // After all control hosts were away nobody is served until this has passed.
    // An attachment is 1.2 KB, so that a node which nobody serves spends little
    // of its 20 KB a second; 3,400 nodes are 170 calls a second at each of 20
    // hosts.
    duration backoff_limit = std::chrono::seconds(1);
    duration start_spread = std::chrono::milliseconds(500);
    // A removed record is remembered for this long, so that it can not return.
    duration tombstone_life = std::chrono::hours(3);
};

} // namespace crowlink
