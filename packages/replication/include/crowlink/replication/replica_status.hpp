#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/member.hpp"
#include "crowlink/replication/replica_role.hpp"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace crowlink::replication
{

// A member as the leader sees it.
struct member_status
{
    member who;
    // Synced there; 0 where unknown.
    log_index match_index = 0;
    // Since it last answered this leader; empty where it has not.
    std::optional<duration> age;

    friend auto operator<=>(const member_status&,
                            const member_status&) = default;
};

// A host that said hello and is no member with the disk that it has now.
struct non_member_status
{
    host_id host;
    disk_id disk;
    bool blank = false;
    duration age{};

    friend auto operator<=>(const non_member_status&,
                            const non_member_status&) = default;
};

// What a replica tells operators about itself.
struct replica_status
{
    host_id self;
    disk_id disk;
    replica_role role = replica_role::follower;
    term_number term = 0;
    host_id leader;
    log_index commit = 0;
    log_index last_index = 0;
    log_index snapshot_index = 0;
    std::size_t log_bytes = 0;
    // Since the leader was last heard of, or held its quorum if this is it.
    duration age{};
    // Since this host last knew that it held all that was committed; very long
    // before it knew that for the first time.
    duration document_age{};
    // Since this host leads; zero on others.
    duration led_for{};
    // Match indexes and ages are known on the leader only.
    std::vector<member_status> members;
    std::vector<non_member_status> non_members;
    // Empty while storage works.
    std::string storage_error;

    friend auto operator<=>(const replica_status&,
                            const replica_status&) = default;
};

} // namespace crowlink::replication
