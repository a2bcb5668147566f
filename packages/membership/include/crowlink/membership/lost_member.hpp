#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// Why a node considers a member lost.
enum class loss_reason : std::uint8_t
{
    // Its end was announced, or its agent has a new upstream.
    ended,
    // Its lease expired; the member may still be alive.
    lease_expired,
    // The publisher's snapshots have lacked it for too long.
    absent,
};

// The name of the reason in logs.
const char* to_string(loss_reason reason);

// A node's decision that a member is lost.
struct lost_member
{
    service_id service;
    upstream_id id;
    loss_reason reason = loss_reason::ended;
    // The sequence of the record as it was known, and of the record that
    // reported its end.
    std::uint64_t known_sequence = 0;
    std::uint64_t told_sequence = 0;

    friend auto operator<=>(const lost_member&, const lost_member&) = default;
};

} // namespace crowlink
