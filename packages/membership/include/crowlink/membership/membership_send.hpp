#pragma once

#include "crowlink/base/ids.hpp"

#include <membership.pb.h>

namespace crowlink
{

// A message that a core wants sent, and to whom.
struct membership_send
{
    host_id to;
    wire::membership_message message;
};

// The bytes that a message is counted with: its encoding and the framing of
// the transport (ZeroMQ with CURVE over TCP).
std::size_t wire_size(const wire::membership_message& message);

// The framing that wire_size adds to each message, in bytes.
constexpr std::size_t framing_bytes = 64;

} // namespace crowlink
