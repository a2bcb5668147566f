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
    // The last entry that is durable on it; 0 if unknown.
    log_index match_index = 0;
    // Time since its last answer to this leader; empty if there was none.
    std::optional<duration> age;

    friend auto operator<=>(const member_status&,
                            const member_status&) = default;
};

// A host that sent hello and is not a member with its present disk.
struct non_member_status
{
    host_id host;
    disk_id disk;
    bool blank = false;
    duration age{};

    friend auto operator<=>(const non_member_status&,
                            const non_member_status&) = default;
};

// The status of a replica, for operators.
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
    // Time since the last contact with the leader; on the leader, with its
    // quorum.
    duration age{};
    // Time since this host last knew that it held all committed entries; very
    // long before it knew that for the first time.
    duration document_age{};
    // Time since this host became leader; zero on others.
    duration led_for{};
    // Match indexes and ages are known only on the leader.
    std::vector<member_status> members;
    std::vector<non_member_status> non_members;
    // Empty unless storage has failed.
    std::string storage_error;

    friend auto operator<=>(const replica_status&,
                            const replica_status&) = default;
};

} // namespace crowlink::replication
