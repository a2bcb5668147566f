#pragma once

#include "crowlink/agent/peer_message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace crowlink::internal
{

// The bytes of an agent's message to another agent, as proto/peer.proto says.
std::string encode_peer_message(const peer_message& message);

// Reads what encode_peer_message wrote; empty for anything else.
std::optional<peer_message>
decode_peer_message(std::span<const std::uint8_t> bytes);

} // namespace crowlink::internal
