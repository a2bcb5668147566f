#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Why a node takes a member for one that is not there.
enum class loss_reason : std::uint8_t
{
    // By its own word.
    ended,
    // Its lease ran out: it may live on.
    lease_expired,
    // The publisher's snapshots did not name it for long.
    absent,
};

// The word for it in logs.
const char* to_string(loss_reason reason);

// A node's decision that a member is not there any more.
struct lost_member
{
    service_id service;
    upstream_id id;
    loss_reason reason = loss_reason::ended;
    // The sequence of the record as it was known, and of the word of its end.
    std::uint64_t known_sequence = 0;
    std::uint64_t told_sequence = 0;

    friend auto operator<=>(const lost_member&, const lost_member&) = default;
};

} // namespace crowlink
