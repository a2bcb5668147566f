#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/connection_settings.hpp"
#include "crowlink/membership/observer_info.hpp"

#include <chrono>
#include <vector>

namespace crowlink
{

struct announcer_settings
{
    // Every observer. The announcer orders them itself.
    std::vector<observer_info> observers;
    // The announcer's own region. Its observers are preferred.
    region_id region;
    // The interval between renewals of a lease. It must be at most a third of
    // the observers' lease.
    duration renewal_interval = std::chrono::seconds(2);
    // An observer that has not answered for this long is tried once more, then
    // the announcer fails over to another one.
    duration answer_timeout = std::chrono::seconds(1);
    // The first announcement is delayed by a random part of this time.
    duration start_spread = std::chrono::milliseconds(500);
    // Backoff between rounds over all observers, doubled up to the limit.
    duration backoff_first = std::chrono::milliseconds(500);
    duration backoff_limit = std::chrono::seconds(8);
    // Whether an announcement that observers refuse as older is at once
    // repeated with a later incarnation. Not for an upstream that reports its
    // own start: its agent identifies it by that start alone, and peers'
    // messages under any other one miss it.
    bool raises_incarnation = true;
    // With more observers than this the announcer moves to its preferred one as
    // soon as it learns of it, so that leases do not gather at the few hosts
    // that the settings name.
    std::size_t spread_above = most_fully_connected;
    // After a fail-over the preferred observer is tried again after this time.
    duration return_after = std::chrono::minutes(10);
};

} // namespace crowlink
