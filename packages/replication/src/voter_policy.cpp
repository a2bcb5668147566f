#include "crowlink/replication/voter_policy.hpp"

#include <algorithm>

namespace crowlink::replication
{

namespace
{

// A vote more costs every change a message and a sync, and no deployment has
// to bear the loss of more than two.
constexpr std::size_t most_voters = 5;

bool counts(const member& one)
{
    return one.role == member_role::voter || one.role == member_role::joining;
}

std::size_t count_voters(const replica_status& status)
{
    return static_cast<std::size_t>(std::count_if(
        status.members.begin(), status.members.end(),
        [](const member_status& one) { return counts(one.who); }));
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
    if (auto change = readmit(status))
    {
        return change;
    }
    if (auto change = add(status))
    {
        return change;
    }
    if (auto change = remove(status))
    {
        return change;
    }
    if (auto change = admit(status))
    {
        return change;
    }
    return forget(status);
}

std::size_t voter_policy::wanted() const
{
    return std::min(most_voters, 2 * m_settings.tolerated_failures + 1);
}

// A new leader has heard of nobody yet.
bool voter_policy::is_lost(const replica_status& status,
                           const member_status& member) const
{
    return member.age.value_or(status.led_for) > m_settings.lost_after;
}

bool voter_policy::is_there(const non_member_status& non_member) const
{
    return non_member.age <= m_settings.heard_within;
}

std::optional<member_change>
voter_policy::readmit(const replica_status& status) const
{
    for (const non_member_status& non_member : status.non_members)
    {
        const member_status* before = find(status, non_member.host);
        if (before == nullptr || !is_there(non_member))
        {
            continue;
        }
        const auto kind = counts(before->who)
                              ? member_change_kind::add_voter
                              : member_change_kind::add_observer;
        return member_change{kind, non_member.host, non_member.disk};
    }
    return std::nullopt;
}

std::optional<member_change>
voter_policy::add(const replica_status& status) const
{
    const std::size_t voters = count_voters(status);
    const std::size_t aim = wanted();
    const bool has_lost =
        std::any_of(status.members.begin(), status.members.end(),
                    [this, &status](const member_status& one)
                    { return counts(one.who) && is_lost(status, one); });
    const bool has_room = voters < aim || (has_lost && voters == aim);
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
        if (is_there(non_member))
        {
            return member_change{member_change_kind::add_voter, non_member.host,
                                 non_member.disk};
        }
    }
    return std::nullopt;
}

std::optional<member_change>
voter_policy::remove(const replica_status& status) const
{
    if (count_voters(status) <= wanted())
    {
        return std::nullopt;
    }
    const member_status* longest = nullptr;
    for (const member_status& one : status.members)
    {
        // One that never answered this leader is lost longest.
        const bool is_longer = longest == nullptr || !one.age ||
                               (longest->age && *longest->age < *one.age);
        if (counts(one.who) && is_lost(status, one) && is_longer)
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

// One that was removed as a lost voter comes back with its log, and would
// neither hear of changes nor be heard by the others.
std::optional<member_change>
voter_policy::admit(const replica_status& status) const
{
    for (const non_member_status& non_member : status.non_members)
    {
        if (is_there(non_member))
        {
            return member_change{member_change_kind::add_observer,
                                 non_member.host, non_member.disk};
        }
    }
    return std::nullopt;
}

std::optional<member_change>
voter_policy::forget(const replica_status& status) const
{
    for (const member_status& one : status.members)
    {
        const bool is_gone = one.age && *one.age > m_settings.forgotten_after;
        if (one.who.role == member_role::observer && is_gone)
        {
            return member_change{member_change_kind::remove, one.who.host,
                                 disk_id()};
        }
    }
    return std::nullopt;
}

} // namespace crowlink::replication
