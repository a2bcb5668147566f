#pragma once

#include "crowlink/base/ip_address.hpp"
#include "crowlink/packet/packet_drop.hpp"

#include <cstdint>
#include <span>
#include <tl/expected.hpp>

namespace crowlink::internal
{

// An IP packet whose headers were read and checked.
struct ip_packet
{
    ip_address source;
    ip_address destination;
    // The protocol after IPv6 extension headers.
    std::uint8_t protocol = 0;
    // Headers and segment, without what follows the stated length.
    std::span<const std::uint8_t> whole;
    // What the protocol's header and data are in.
    std::span<const std::uint8_t> segment;
};

// Reads the headers of an IPv4 or IPv6 packet.
tl::expected<ip_packet, packet_drop>
read_ip(std::span<const std::uint8_t> bytes);

} // namespace crowlink::internal
