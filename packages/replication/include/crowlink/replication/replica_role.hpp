#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink::replication
{

enum class replica_role : std::uint8_t
{
    follower,
    // Runs a pre-vote; its term is unchanged.
    pre_candidate,
    candidate,
    leader,
    // Its storage failed; it is passive until it is restarted.
    failed,
};

std::string_view to_string(replica_role role);

} // namespace crowlink::replication
