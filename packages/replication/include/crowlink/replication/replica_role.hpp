#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink::replication
{

enum class replica_role : std::uint8_t
{
    follower,
    // Asks whether it could win an election; its term has not risen.
    pre_candidate,
    candidate,
    leader,
    // Its storage failed; it takes no part until it is restarted.
    failed,
};

std::string_view to_string(replica_role role);

} // namespace crowlink::replication
