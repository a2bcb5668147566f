#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/observer_info.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace crowlink
{

struct observer_settings
{
    observer_info self;
    // The other observers.
    std::vector<observer_info> peers;
    duration lease = std::chrono::seconds(6);
    // The delay after a lease has run out before its record expires, so that
    // failures that happen together are evaluated together. It must exceed the
    // announcers' renewal interval.
    duration expiry_delay = std::chrono::milliseconds(2500);
    duration heartbeat_interval = std::chrono::seconds(1);
    // The interval between digests. The peers are sent one in turn.
    duration digest_interval = std::chrono::seconds(1);
    // The interval at which an observer that has just started asks every peer
    // for a digest. It may not publish until a digest equals its own, so after
    // a restart of all observers every node waits for this. A digest takes 1
    // KB.
    duration start_digest_interval = std::chrono::milliseconds(100);
    // A peer that no observer heard for this long counts as failed.
    duration peer_timeout = std::chrono::seconds(5);
    // The time that announcers have to find a new home when theirs has failed,
    // or to come back after this host or their data centre was cut off. It must
    // exceed the announcers' longest backoff.
    duration orphan_grace = std::chrono::seconds(20);
    // How long the records of a region that is cut off, or of a lost data
    // centre, are kept. It must be shorter than tombstone_life.
    duration keep_unreachable = std::chrono::minutes(90);
    // How long a gone record is remembered, so that it can not return.
    duration tombstone_life = std::chrono::hours(3);
    // A data centre is lost if this share of its members is silent, provided
    // that it has at least place_members members.
    double place_share = 0.9;
    std::size_t place_members = 8;
    // Without confirmation at most this share of one home's records, or
    // expiry_minimum records if that is more, expires within expiry_window.
    double expiry_share = 0.1;
    std::size_t expiry_minimum = 2;
    duration expiry_window = std::chrono::seconds(10);
    // Records beyond that limit expire once they have stayed silent for this
    // long after expiry_delay, if at least half of the own region's observers
    // are heard.
    duration confirm_after = std::chrono::seconds(10);
    // When a home reports a data centre as lost, the other homes have this long
    // to report it as well, and twice as long if half of the data centre's
    // members are silent.
    duration report_wait = std::chrono::seconds(4);
    duration detection_interval = std::chrono::milliseconds(500);
    // A started observer may publish once its digest equals that of a peer that
    // may publish, or once it and the peers with the same digest, which may
    // have just started as well, are a majority of all observers. If it has
    // heard no peer at all, it may publish after this time.
    duration start_grace = std::chrono::seconds(10);
    // The most records in one message to a peer, and the most messages in the
    // reply to one digest.
    std::size_t records_per_message = 512;
    std::size_t messages_per_digest = 16;
    // The most records that are held, including gone ones.
    std::size_t record_capacity = 200000;
};

} // namespace crowlink
