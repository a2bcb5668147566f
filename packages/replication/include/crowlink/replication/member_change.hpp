#pragma once

#include "crowlink/replication/member.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace crowlink::replication
{

enum class member_change_kind : std::uint8_t
{
    // Admit the host as an observer, with its present disk. A voter that came
    // back with another disk loses its vote by this.
    add_observer,
    // Admit the host with its present disk, to become a voter by itself once it
    // has caught up.
    add_voter,
    // Take the vote from a voter; it goes on as an observer.
    demote,
    // Forget the host.
    remove,
};

std::string_view to_string(member_change_kind kind);

// One change of the membership. Only one is under way at a time.
struct member_change
{
    member_change_kind kind = member_change_kind::add_observer;
    host_id host;
    // The disk to admit; 0 stands for the one that the host last named in its
    // hello to the leader.
    disk_id disk;

    friend auto operator<=>(const member_change&,
                            const member_change&) = default;
};

} // namespace crowlink::replication
