#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/member_change.hpp"
#include "crowlink/replication/replica_status.hpp"

#include <compare>
#include <cstddef>
#include <optional>

namespace crowlink::replication
{

// Settings of the automatic choice of the voters.
struct voter_policy_settings
{
    // Simultaneous voter failures that the log must survive.
    std::size_t tolerated_failures = 1;
    // A voter that has not answered the leader for this long may be replaced.
    // Longer than a process restart, which takes about two seconds, and than
    // the stalls of slow disks that cause no election.
    duration lost_timeout = std::chrono::milliseconds(2500);
    // A host that is not a member counts as reachable if its last hello is not
    // older; such hosts send hello once a second.
    duration hello_timeout = std::chrono::milliseconds(1500);
    // An observer is removed if its last answer to this leader is older; it is
    // admitted again when it returns. One that has never answered this leader
    // is kept. Much longer than a restart, since nothing waits for an observer.
    duration observer_timeout = std::chrono::seconds(30);

    friend auto operator<=>(const voter_policy_settings&,
                            const voter_policy_settings&) = default;
};

// Decides which change of the membership the leader should propose, one at a
// time. The log itself rejects a change that would leave no quorum. The rules
// apply in this order:
//
// 1. a member that returned with another disk is admitted with that disk, since
//    its former vote can never be cast again;
// 2. while there are fewer voters than the tolerated failures require, or if a
//    voter is lost, another reachable host becomes a voter;
// 3. a lost voter in excess of the required number is removed;
// 4. every other reachable host becomes an observer, so that it holds the
//    document, answers operators and serves nodes;
// 5. an observer whose last answer to the leader is too old is removed.
//
// The last voter is never removed, and a lost voter only after another host has
// replaced it: a host that returns soon keeps its vote.
class voter_policy
{
public:
    explicit voter_policy(const voter_policy_settings& settings)
        : m_settings(settings)
    {
    }

    // Returns nothing unless `status` is that of the leader.
    std::optional<member_change> decide(const replica_status& status) const;

private:
    std::size_t target_voters() const;
    bool is_lost(const replica_status& status,
                 const member_status& member) const;
    bool is_reachable(const non_member_status& non_member) const;

    std::optional<member_change>
    readmit_with_new_disk(const replica_status& status) const;
    std::optional<member_change> add_voter(const replica_status& status) const;
    std::optional<member_change>
    remove_lost_voter(const replica_status& status) const;
    std::optional<member_change>
    add_observer(const replica_status& status) const;
    std::optional<member_change>
    remove_observer(const replica_status& status) const;

    voter_policy_settings m_settings;
};

} // namespace crowlink::replication
