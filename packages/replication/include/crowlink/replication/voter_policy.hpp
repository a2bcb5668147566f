#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/member_change.hpp"
#include "crowlink/replication/replica_status.hpp"

#include <compare>
#include <cstddef>
#include <optional>

namespace crowlink::replication
{

// How many control hosts vote when no operator decides it.
struct voter_policy_settings
{
    // Voters that may be lost at the same time while the log goes on.
    std::size_t tolerated_failures = 1;
    // A voter that has not answered the leader for so long may be replaced. It
    // exceeds a restart of a process, which takes about two seconds, and the
    // pauses of slow disks that are borne without an election.
    duration lost_after = std::chrono::milliseconds(2500);
    // A host counts as there if it was heard of within this time; hosts that
    // are no members say hello once a second.
    duration heard_within = std::chrono::milliseconds(1500);
    // A host without a vote that has not answered for so long is no member any
    // more; it is admitted again when it is back. Far above a restart, since
    // nothing waits for such a host.
    duration forgotten_after = std::chrono::seconds(30);

    friend auto operator<=>(const voter_policy_settings&,
                            const voter_policy_settings&) = default;
};

// What the leader should change about the members, one change at a time. The
// log itself refuses a change that would leave no quorum. In this order:
//
// 1. a member that came back with another disk is admitted with that one, since
//    its former vote can never be given again;
// 2. while there are fewer voters than the losses to be borne ask for, and
//    where a voter is lost, another host that is there becomes a voter;
// 3. a lost voter beyond that number is removed;
// 4. any other host that is there becomes a member without a vote, so that it
//    holds the document, answers operators and serves nodes;
// 5. a member without a vote that is gone for long is removed.
//
// The last voter is never removed, and a lost one only once another has its
// place: a host that is back soon keeps its vote.
class voter_policy
{
public:
    explicit voter_policy(const voter_policy_settings& settings)
        : m_settings(settings)
    {
    }

    // `status` is that of the leader; nothing is to be changed by others.
    std::optional<member_change> decide(const replica_status& status) const;

private:
    std::size_t wanted() const;
    bool is_lost(const replica_status& status,
                 const member_status& member) const;
    bool is_there(const non_member_status& non_member) const;

    std::optional<member_change> readmit(const replica_status& status) const;
    std::optional<member_change> add(const replica_status& status) const;
    std::optional<member_change> remove(const replica_status& status) const;
    std::optional<member_change> admit(const replica_status& status) const;
    std::optional<member_change> forget(const replica_status& status) const;

    voter_policy_settings m_settings;
};

} // namespace crowlink::replication
