#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/packet/packet_drop.hpp"
#include "crowlink/packet/refusal.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <tl/expected.hpp>

namespace crowlink::internal
{

// The size of what was written into a buffer.
using written = tl::expected<std::size_t, packet_drop>;

// A UDP datagram from a flow's service to its caller.
written write_udp(const flow_key& flow, std::span<const std::uint8_t> payload,
                  std::span<std::uint8_t> out);

// A TCP RST segment from a flow's service to its caller.
written write_reset(const refusal& refused, std::span<std::uint8_t> out);

// An ICMP port unreachable message from a flow's service to its caller.
written write_unreachable(const flow_key& flow, std::span<std::uint8_t> out);

} // namespace crowlink::internal
