#include "crowlink/replication/membership.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication
{

std::string_view to_string(member_role role)
{
    switch (role)
    {
    case member_role::observer:
        return "observer";
    case member_role::joining:
        return "joining";
    case member_role::voter:
        return "voter";
    }
    return "unknown";
}

membership::membership(std::vector<member> members)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end());
}

const member* membership::find(const host_id& host) const
{
    for (const member& one : m_members)
    {
        if (one.host == host)
        {
            return &one;
        }
    }
    return nullptr;
}

bool membership::is_voter(const host_id& host, disk_id disk) const
{
    const member* found = find(host);
    return found != nullptr && found->disk == disk &&
           found->role == member_role::voter;
}

bool membership::contains(const host_id& host, disk_id disk) const
{
    const member* found = find(host);
    return found != nullptr && found->disk == disk;
}

std::size_t membership::voter_count() const
{
    std::size_t count = 0;
    for (const member& one : m_members)
    {
        count += one.role == member_role::voter ? 1 : 0;
    }
    return count;
}

membership membership::with(const member& changed) const
{
    std::vector<member> members = without(changed.host).m_members;
    members.push_back(changed);
    return membership(std::move(members));
}

membership membership::without(const host_id& host) const
{
    std::vector<member> members;
    for (const member& one : m_members)
    {
        if (one.host != host)
        {
            members.push_back(one);
        }
    }
    return membership(std::move(members));
}

} // namespace crowlink::replication
