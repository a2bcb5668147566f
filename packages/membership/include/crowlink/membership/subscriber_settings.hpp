#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/connection_settings.hpp"
#include "crowlink/membership/interest.hpp"
#include "crowlink/membership/observer_info.hpp"

#include <chrono>
#include <vector>

namespace crowlink
{

struct subscriber_settings
{
    interest wants;
    // Every control host. The subscriber orders them itself.
    std::vector<observer_info> publishers;
    // The node's own name and region. Publishers of the same region are
    // preferred.
    host_id self;
    region_id region;
    // A publisher that was silent for this long is replaced by another one.
    // Together with the time to attach elsewhere it stays below the 7 s within
    // which a change must be in force, and it exceeds two digest intervals.
    duration silence_timeout = std::chrono::milliseconds(4500);
    duration answer_timeout = std::chrono::seconds(2);
    // How long the node waits for a publisher that keeps its request but may
    // not serve yet. An election takes less; a publisher that is cut off is
    // left after this time.
    duration kept_request_timeout = std::chrono::seconds(2);
    duration alive_interval = std::chrono::seconds(5);
    // A publisher that has not been able to confirm for this long that its
    // document is the newest is left, at most once per silence timeout: if all
    // are cut off from each other, any of them still distributes members.
    duration stale_after = std::chrono::seconds(4);
    // A publisher whose document stays older than the node's for this long is
    // left.
    duration behind_timeout = std::chrono::seconds(10);
    // Backoff between attachments, doubled up to the limit, with jitter.
    duration backoff_first = std::chrono::milliseconds(500);
    // After an outage of all control hosts no node is served until this has
    // passed. An attach request takes 1.2 KB, so a node without a publisher
    // uses little of its 20 KB per second, and 3,400 nodes make 170 requests
    // per second at each of 20 hosts.
    duration backoff_limit = std::chrono::seconds(1);
    duration start_spread = std::chrono::milliseconds(500);
    // With more publishers than this the node moves to the first one in its own
    // order when it learns of them, so that streams do not gather at the few
    // hosts that the settings name. After a fail-over it moves back after a
    // random part of return_after, at least half of it.
    std::size_t spread_above = most_fully_connected;
    duration return_after = std::chrono::minutes(2);
    // How long a removed record is remembered, so that it can not return.
    duration tombstone_life = std::chrono::hours(3);
};

} // namespace crowlink
