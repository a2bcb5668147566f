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

    // Null where the host is no member.
    const member* find(const host_id& host) const;

    // Whether this host, with this very disk, has a vote.
    bool is_voter(const host_id& host, disk_id disk) const;

    // Whether this host, with this very disk, is a member of any role.
    bool contains(const host_id& host, disk_id disk) const;

    std::size_t voter_count() const;

    // The least number of voters that is a majority.
    std::size_t quorum() const { return voter_count() / 2 + 1; }

    // The same members with this one added or put in place of its host's.
    membership with(const member& changed) const;

    // The same members without this host.
    membership without(const host_id& host) const;

    friend auto operator<=>(const membership&, const membership&) = default;

private:
    std::vector<member> m_members;
};

} // namespace crowlink::replication
