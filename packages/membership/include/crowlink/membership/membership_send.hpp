#pragma once

#include "crowlink/base/ids.hpp"

#include <membership.pb.h>

namespace crowlink
{

// A message to send and its recipient.
struct membership_send
{
    host_id to;
    wire::membership_message message;
};

// The size in bytes that a message counts with: its encoding and the framing of
// the transport (ZeroMQ with CURVE over TCP).
std::size_t wire_size(const wire::membership_message& message);

// The framing that wire_size adds to each message, in bytes.
constexpr std::size_t framing_bytes = 64;

} // namespace crowlink
