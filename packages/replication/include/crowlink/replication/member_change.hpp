#pragma once

#include "crowlink/replication/member.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace crowlink::replication
{

enum class member_change_kind : std::uint8_t
{
    // Admit the host as an observer with its present disk. This takes the vote
    // from a voter that returned with another disk.
    add_observer,
    // Admit the host with its present disk; it is promoted to voter once it has
    // caught up.
    add_voter,
    // Turn a voter into an observer.
    demote,
    // Remove the host from the members.
    remove,
};

std::string_view to_string(member_change_kind kind);

// One change of the membership. Only one is in progress at a time.
struct member_change
{
    member_change_kind kind = member_change_kind::add_observer;
    host_id host;
    // The disk to admit; 0 stands for the disk in the latest hello of the host
    // to the leader.
    disk_id disk;

    friend auto operator<=>(const member_change&,
                            const member_change&) = default;
};

} // namespace crowlink::replication
