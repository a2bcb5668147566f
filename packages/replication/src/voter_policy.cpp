#include "crowlink/replication/voter_policy.hpp"

#include <algorithm>

namespace crowlink::replication
{

namespace
{

// Each additional voter costs a message and a sync per change, and no
// deployment has to tolerate more than two failures.
constexpr std::size_t max_voters = 5;

bool is_voter_or_joining(const member& one)
{
    return one.role == member_role::voter || one.role == member_role::joining;
}

std::size_t count_voters(const replica_status& status)
{
    return static_cast<std::size_t>(std::count_if(
        status.members.begin(), status.members.end(),
        [](const member_status& one) { return is_voter_or_joining(one.who); }));
}

const member_status* find(const replica_status& status, const host_id& host)
{
    const auto found = std::find_if(
        status.members.begin(), status.members.end(),
        [&host](const member_status& one) { return one.who.host == host; });
    return found == status.members.end() ? nullptr : &*found;
}

} // namespace

std::optional<member_change>
voter_policy::decide(const replica_status& status) const
{
    if (status.role != replica_role::leader)
    {
        return std::nullopt;
    }
    if (auto change = readmit_with_new_disk(status))
    {
        return change;
    }
    if (auto change = add_voter(status))
    {
        return change;
    }
    if (auto change = remove_lost_voter(status))
    {
        return change;
    }
    if (auto change = add_observer(status))
    {
        return change;
    }
    return remove_observer(status);
}

std::size_t voter_policy::target_voters() const
{
    return std::min(max_voters, 2 * m_settings.tolerated_failures + 1);
}

// For a member that has not answered a new leader yet, the time since the
// election counts instead.
bool voter_policy::is_lost(const replica_status& status,
                           const member_status& member) const
{
    return member.age.value_or(status.led_for) > m_settings.lost_timeout;
}

bool voter_policy::is_reachable(const non_member_status& non_member) const
{
    return non_member.age <= m_settings.hello_timeout;
}

std::optional<member_change>
voter_policy::readmit_with_new_disk(const replica_status& status) const
{
    for (const non_member_status& non_member : status.non_members)
    {
        const member_status* before = find(status, non_member.host);
        if (before == nullptr || !is_reachable(non_member))
        {
            continue;
        }
        const auto kind = is_voter_or_joining(before->who)
                              ? member_change_kind::add_voter
                              : member_change_kind::add_observer;
        return member_change{kind, non_member.host, non_member.disk};
    }
    return std::nullopt;
}

std::optional<member_change>
voter_policy::add_voter(const replica_status& status) const
{
    const std::size_t voters = count_voters(status);
    const std::size_t target = target_voters();
    const bool has_lost = std::any_of(
        status.members.begin(), status.members.end(),
        [this, &status](const member_status& one)
        { return is_voter_or_joining(one.who) && is_lost(status, one); });
    const bool has_room = voters < target || (has_lost && voters == target);
    if (!has_room)
    {
        return std::nullopt;
    }
    for (const member_status& one : status.members)
    {
        if (one.who.role == member_role::observer && !is_lost(status, one))
        {
            return member_change{member_change_kind::add_voter, one.who.host,
                                 one.who.disk};
        }
    }
    for (const non_member_status& non_member : status.non_members)
    {
        if (is_reachable(non_member))
        {
            return member_change{member_change_kind::add_voter, non_member.host,
                                 non_member.disk};
        }
    }
    return std::nullopt;
}

std::optional<member_change>
voter_policy::remove_lost_voter(const replica_status& status) const
{
    if (count_voters(status) <= target_voters())
    {
        return std::nullopt;
    }
    const member_status* longest = nullptr;
    for (const member_status& one : status.members)
    {
        // A member that never answered this leader has been lost the longest.
        const bool is_longer = longest == nullptr || !one.age ||
                               (longest->age && *longest->age < *one.age);
        if (is_voter_or_joining(one.who) && is_lost(status, one) && is_longer)
        {
            longest = &one;
        }
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }
    return member_change{member_change_kind::remove, longest->who.host,
                         disk_id()};
}

// A host that was removed as a lost voter returns with its log; without
// admission it would get no changes and could not vote.
std::optional<member_change>
voter_policy::add_observer(const replica_status& status) const
{
    for (const non_member_status& non_member : status.non_members)
    {
        if (is_reachable(non_member))
        {
            return member_change{member_change_kind::add_observer,
                                 non_member.host, non_member.disk};
        }
    }
    return std::nullopt;
}

std::optional<member_change>
voter_policy::remove_observer(const replica_status& status) const
{
    for (const member_status& one : status.members)
    {
        const bool is_gone = one.age && *one.age > m_settings.observer_timeout;
        if (one.who.role == member_role::observer && is_gone)
        {
            return member_change{member_change_kind::remove, one.who.host,
                                 disk_id()};
        }
    }
    return std::nullopt;
}

} // namespace crowlink::replication
