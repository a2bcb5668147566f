#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/digest_table.hpp"
#include "crowlink/membership/record_key.hpp"
#include "crowlink/membership/share_key.hpp"
#include "crowlink/membership/token_bucket.hpp"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace crowlink::internal
{

// The services and balancer groups that a node subscribes to.
struct selection
{
    bool all_services = false;
    std::set<service_id> services;

    bool contains(service_id service) const;
    // The next subscribed id at or after this one, as far as the selection
    // alone can tell.
    service_id next(service_id from) const;
};

// The progress of a snapshot. It walks all declarations first and then all
// members, in the order of services, and reads the state that is current when
// it gets there.
struct snapshot_cursor
{
    bool active = false;
    std::bitset<digest_table::bucket_count> covered;
    bool declarations_done = false;
    // The first service whose declaration was not sent yet.
    service_id next_declared;
    // The first member that was not sent yet.
    record_key next;
};

// How fast declarations and shares are sent while the node lacks some.
struct version_pace
{
    // The version up to which `bytes` reckons.
    std::uint64_t version = 0;
    // Since when the node lacks something.
    time_point begun{};
    // About what is still to be sent.
    std::size_t bytes = 0;
};

// Sends the terms that changed after a version, in the order of services and
// addresses. Changes that fall behind the walk wait for the next one.
struct terms_cursor
{
    // All changes of terms up to this version were sent.
    std::uint64_t sent = 0;
    // The version at the beginning of the walk; 0 if there is none.
    std::uint64_t target = 0;
    // The first share that was not looked at yet.
    share_key next;
};

// The stream of one node. Its memory is constant, however many changes are
// pending.
struct publisher_session
{
    selection wants;
    std::uint32_t stream = 0;
    std::uint32_t sequence = 0;
    token_bucket rate_limit;
    std::uint64_t urgent = 0;
    std::uint64_t ordinary = 0;
    // Whether the node takes share changes, its position among them, and among
    // changed terms.
    bool takes_share_changes = false;
    std::uint64_t shares = 0;
    terms_cursor terms;
    snapshot_cursor snapshot;
    // The version that was reported to the node as complete, and the one whose
    // declarations and shares were.
    std::uint64_t complete_version = 0;
    std::uint64_t declared_version = 0;
    // Set while declared_version is behind.
    std::optional<version_pace> pace;
    bool places_due = true;
    bool evacuations_due = true;
    bool hosts_due = true;
    time_point heard{};
    time_point next_digest{};
    // From when on changes that are not urgent may be sent by themselves.
    time_point next_ordinary{};
    std::uint64_t bytes = 0;
};

} // namespace crowlink::internal
