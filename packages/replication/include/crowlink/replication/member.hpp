#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace crowlink::replication
{

// Chosen at random when a data folder is created; never 0. A host that returns
// with an empty disk has a different id, and so counts as a different member.
using disk_id = typed_id<struct disk_tag, std::uint64_t>;

enum class member_role : std::uint8_t
{
    // Replicates the log without a vote.
    observer,
    // An observer that the leader promotes to voter once it has caught up.
    joining,
    // Counts towards the quorum.
    voter,
};

std::string_view to_string(member_role role);

// One host of the replicated log, tied to the disk that it was admitted with.
struct member
{
    host_id host;
    disk_id disk;
    member_role role = member_role::observer;

    friend auto operator<=>(const member&, const member&) = default;
};

} // namespace crowlink::replication
