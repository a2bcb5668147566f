#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/digest_book.hpp"
#include "crowlink/membership/record_key.hpp"
#include "crowlink/membership/token_bucket.hpp"

#include <bitset>
#include <cstdint>
#include <set>

namespace crowlink::internal
{

// The services and groups of balancers that a node wants.
struct selection
{
    bool all_services = false;
    std::set<service_id> services;

    bool holds(service_id service) const;
    // The next wanted number at or after this one, as far as the selection
    // alone can tell.
    service_id next(service_id from) const;
};

// How far a snapshot has come. It walks the services in order, each one's
// declaration first, and reads what is current when it gets there.
struct snapshot_cursor
{
    bool active = false;
    std::bitset<digest_book::bucket_count> covered;
    bool declarations_done = false;
    // The first item that was not sent yet.
    record_key next;
};

// One node's stream: constant memory, whatever waits for it.
struct publisher_session
{
    selection wants;
    std::uint32_t stream = 0;
    std::uint32_t sequence = 0;
    token_bucket pace;
    std::uint64_t urgent = 0;
    std::uint64_t ordinary = 0;
    snapshot_cursor snapshot;
    // The version that the node was told to be complete.
    std::uint64_t complete_version = 0;
    bool places_due = true;
    bool evacuations_due = true;
    bool hosts_due = true;
    time_point heard{};
    time_point next_digest{};
    std::uint64_t bytes = 0;
};

} // namespace crowlink::internal
