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
    // The wait before leases that ran out are acted on, so that what fails
    // together is judged together. It must exceed the announcers' renewal
    // interval.
    duration settle = std::chrono::milliseconds(2500);
    duration heartbeat_every = std::chrono::seconds(1);
    // One peer, in turn, is sent a digest this often.
    duration digest_every = std::chrono::seconds(1);
    // One that has just started asks every peer for a digest this often. Until
    // a digest equals its own it may not publish, so that after a restart of
    // all every node waits for this. One is 1 KB.
    duration start_digest_every = std::chrono::milliseconds(100);
    // A peer that nobody heard for this long is held to be dead.
    duration peer_timeout = std::chrono::seconds(5);
    // The time that announcers have to find a new home when theirs died, or to
    // come back after this host or their place was cut off. It must exceed the
    // announcers' longest wait.
    duration orphan_grace = std::chrono::seconds(20);
    // Records of a region that is cut off, or of a lost place, are kept for
    // this long. It must be shorter than tombstone_life.
    duration keep_unreachable = std::chrono::minutes(90);
    // A gone record is remembered for this long, so that it can not return.
    duration tombstone_life = std::chrono::hours(3);
    // A place is lost when this share of its members is, and at least so many.
    double place_share = 0.9;
    std::size_t place_members = 8;
    // Without confirmation, at most this share of one home's records, and at
    // least expiry_least, is expired within expiry_window.
    double expiry_share = 0.1;
    std::size_t expiry_least = 2;
    duration expiry_window = std::chrono::seconds(10);
    // What goes beyond is confirmed by staying away for this long while the
    // at least half of the own region's observers are heard.
    duration confirm_after = std::chrono::seconds(10);
    // A home that reports a place as lost gives the others this long to agree.
    duration report_wait = std::chrono::seconds(4);
    duration judge_every = std::chrono::milliseconds(500);
    // A started observer may publish once the digest of a peer that may, or
    // those of most others that have started too, equalled its own, or after
    // this time if it heard no peer at all.
    duration start_grace = std::chrono::seconds(10);
    // The most records in one message to a peer, and the most messages that
    // answer one digest.
    std::size_t records_a_message = 512;
    std::size_t messages_a_digest = 16;
    // The most records that are held, gone ones included.
    std::size_t record_capacity = 200000;
};

} // namespace crowlink
