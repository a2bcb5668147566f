#include "segment.hpp"

#include "checksum.hpp"
#include "ip_fields.hpp"

namespace crowlink::internal
{

namespace
{

using byte_view = std::span<const std::uint8_t>;
using read_result = tl::expected<caller_packet, packet_drop>;

tl::unexpected<packet_drop> drop(packet_drop reason)
{
    return tl::unexpected<packet_drop>(reason);
}

flow_key flow_of(const ip_packet& packet, transport protocol)
{
    const std::uint8_t* const ports = packet.segment.data();
    return flow_key{
        endpoint{packet.source, get_u16(ports + source_port_at)},
        endpoint{packet.destination, get_u16(ports + destination_port_at)},
        protocol};
}

// Whether a UDP header's checksum is right. IPv4 allows to leave it out, IPv6
// does not.
bool right_checksum(const ip_packet& packet, byte_view segment)
{
    if (get_u16(segment.data() + udp::checksum_at) == 0)
    {
        return packet.source.is_v4();
    }
    checksum sum;
    sum.add_pseudo_header(packet.source, packet.destination, packet.protocol,
                          segment.size());
    sum.add(segment);
    return sum.value() == 0;
}

read_result read_udp(const ip_packet& packet)
{
    if (packet.segment.size() < udp::header_size)
    {
        return drop(packet_drop::truncated);
    }
    const std::size_t length = get_u16(packet.segment.data() + udp::length_at);
    if (length < udp::header_size)
    {
        return drop(packet_drop::malformed);
    }
    if (length > packet.segment.size())
    {
        return drop(packet_drop::truncated);
    }
    const byte_view segment = packet.segment.first(length);
    const flow_key flow = flow_of(packet, transport::udp);
    // The header is taken off here, so that nobody can check it later.
    if (flow.caller.port == 0 || !right_checksum(packet, segment))
    {
        return drop(packet_drop::malformed);
    }
    return caller_packet{flow, packet_role::any,
                         segment.subspan(udp::header_size)};
}

packet_role role_of(std::uint8_t flags)
{
    if ((flags & tcp::rst) != 0)
    {
        return packet_role::resets;
    }
    const bool opens = (flags & (tcp::syn | tcp::ack)) == tcp::syn;
    return opens ? packet_role::opens : packet_role::continues;
}

read_result read_tcp(const ip_packet& packet)
{
    constexpr unsigned offset_shift = 4;
    constexpr std::size_t word = 4;
    if (packet.segment.size() < tcp::header_size)
    {
        return drop(packet_drop::truncated);
    }
    const std::size_t header =
        (packet.segment[tcp::data_offset_at] >> offset_shift) * word;
    const std::uint8_t flags = packet.segment[tcp::flags_at];
    const bool contradicts =
        (flags & tcp::syn) != 0 && (flags & (tcp::fin | tcp::rst)) != 0;
    if (header < tcp::header_size || contradicts)
    {
        return drop(packet_drop::malformed);
    }
    if (header > packet.segment.size())
    {
        return drop(packet_drop::truncated);
    }
    const flow_key flow = flow_of(packet, transport::tcp);
    if (flow.caller.port == 0)
    {
        return drop(packet_drop::malformed);
    }
    // The upstream gets the whole packet and checks its checksum.
    return caller_packet{flow, role_of(flags), packet.whole};
}

} // namespace

tl::expected<caller_packet, packet_drop> read_segment(const ip_packet& packet)
{
    switch (static_cast<transport>(packet.protocol))
    {
    case transport::tcp:
        return read_tcp(packet);
    case transport::udp:
        return read_udp(packet);
    }
    return drop(packet_drop::unsupported);
}

} // namespace crowlink::internal
