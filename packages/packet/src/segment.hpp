#pragma once

#include "crowlink/packet/caller_packet.hpp"
#include "crowlink/packet/packet_drop.hpp"
#include "ip_packet.hpp"

#include <tl/expected.hpp>

namespace crowlink::internal
{

// Reads the TCP or UDP header in an IP packet. The flow's caller is the
// packet's source.
tl::expected<caller_packet, packet_drop> read_segment(const ip_packet& packet);

} // namespace crowlink::internal
