#pragma once

#include "crowlink/replication/member.hpp"

#include <compare>
#include <cstddef>
#include <vector>

namespace crowlink::replication
{

// The hosts of the replicated log as one entry of the log records them; sorted
// by host, each host at most once.
class membership
{
public:
    membership() = default;
    explicit membership(std::vector<member> members);

    const std::vector<member>& members() const { return m_members; }
    bool empty() const { return m_members.empty(); }

    // Null if the host is not a member.
    const member* find(const host_id& host) const;

    // Whether this host has a vote with this disk.
    bool is_voter(const host_id& host, disk_id disk) const;

    // Whether this host is a member, of any role, with this disk.
    bool contains(const host_id& host, disk_id disk) const;

    std::size_t voter_count() const;

    // The smallest majority of the voters.
    std::size_t quorum() const { return voter_count() / 2 + 1; }

    // A copy with this member added, or replaced if its host is a member.
    membership with(const member& changed) const;

    // A copy without this host.
    membership without(const host_id& host) const;

    friend auto operator<=>(const membership&, const membership&) = default;

private:
    std::vector<member> m_members;
};

} // namespace crowlink::replication
