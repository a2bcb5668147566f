#include "ip_writer.hpp"

#include "checksum.hpp"
#include "ip_fields.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

using byte_view = std::span<const std::uint8_t>;
using buffer = std::span<std::uint8_t>;

constexpr auto udp_protocol = static_cast<std::uint8_t>(transport::udp);
constexpr auto tcp_protocol = static_cast<std::uint8_t>(transport::tcp);

tl::unexpected<packet_drop> drop(packet_drop reason)
{
    return tl::unexpected<packet_drop>(reason);
}

bool same_family(const flow_key& flow)
{
    return flow.caller.address.is_v4() == flow.service.address.is_v4();
}

std::size_t ip_header_size(const ip_address& address)
{
    return address.is_v4() ? ipv4::header_size : ipv6::header_size;
}

void put_address(std::uint8_t* out, const ip_address& address)
{
    const byte_view bytes = address_bytes(address);
    std::copy(bytes.begin(), bytes.end(), out);
}

void put_v4_header(std::uint8_t* out, const ip_address& source,
                   const ip_address& destination, std::uint8_t protocol,
                   std::size_t length)
{
    constexpr std::uint8_t version_and_length = 0x45;
    std::fill_n(out, ipv4::header_size, std::uint8_t{0});
    out[0] = version_and_length;
    put_u16(out + ipv4::total_length_at, ipv4::header_size + length);
    // The identification stays zero, as RFC 6864 allows for whole datagrams.
    put_u16(out + ipv4::fragment_at, ipv4::dont_fragment);
    out[ipv4::hop_limit_at] = sent_hop_limit;
    out[ipv4::protocol_at] = protocol;
    put_address(out + ipv4::source_at, source);
    put_address(out + ipv4::destination_at, destination);
    checksum sum;
    sum.add(byte_view(out, ipv4::header_size));
    put_u16(out + ipv4::checksum_at, sum.value());
}

void put_v6_header(std::uint8_t* out, const ip_address& source,
                   const ip_address& destination, std::uint8_t protocol,
                   std::size_t length)
{
    constexpr std::uint8_t version = 0x60;
    std::fill_n(out, ipv6::header_size, std::uint8_t{0});
    out[0] = version;
    put_u16(out + ipv6::payload_length_at, length);
    out[ipv6::next_header_at] = protocol;
    out[ipv6::hop_limit_at] = sent_hop_limit;
    put_address(out + ipv6::source_at, source);
    put_address(out + ipv6::destination_at, destination);
}

// Writes the IP header of a segment of some length; yields where the segment
// begins.
std::uint8_t* put_header(std::uint8_t* out, const ip_address& source,
                         const ip_address& destination, std::uint8_t protocol,
                         std::size_t length)
{
    if (source.is_v4())
    {
        put_v4_header(out, source, destination, protocol, length);
        return out + ipv4::header_size;
    }
    put_v6_header(out, source, destination, protocol, length);
    return out + ipv6::header_size;
}

void put_ports(std::uint8_t* out, std::uint16_t source,
               std::uint16_t destination)
{
    put_u16(out + source_port_at, source);
    put_u16(out + destination_port_at, destination);
}

// The checksum of a segment from service to caller.
std::uint16_t segment_checksum(const flow_key& flow, std::uint8_t protocol,
                               byte_view segment)
{
    checksum sum;
    sum.add_pseudo_header(flow.service.address, flow.caller.address, protocol,
                          segment.size());
    sum.add(segment);
    return sum.value();
}

// Whether a packet with a segment of this length can be written; yields its
// size.
written check_room(const flow_key& flow, std::size_t length, buffer out)
{
    if (!same_family(flow))
    {
        return drop(packet_drop::not_expressible);
    }
    const std::size_t size = ip_header_size(flow.caller.address) + length;
    if (size > ip_packet_limit || size > out.size())
    {
        return drop(packet_drop::too_large);
    }
    return size;
}

// The start of the packet that an ICMP message answers, as far as the flow
// tells: its IP header and its UDP header.
void put_quoted(std::uint8_t* out, const flow_key& flow)
{
    std::uint8_t* const header =
        put_header(out, flow.caller.address, flow.service.address, udp_protocol,
                   udp::header_size);
    std::fill_n(header, udp::header_size, std::uint8_t{0});
    put_ports(header, flow.caller.port, flow.service.port);
    put_u16(header + udp::length_at, udp::header_size);
}

std::uint16_t icmp_checksum(const flow_key& flow, byte_view message)
{
    // Unlike the older protocol, ICMPv6 covers a pseudo header.
    if (!flow.caller.address.is_v4())
    {
        return segment_checksum(flow, icmp::v6_protocol, message);
    }
    checksum sum;
    sum.add(message);
    return sum.value();
}

} // namespace

written write_udp(const flow_key& flow, std::span<const std::uint8_t> payload,
                  std::span<std::uint8_t> out)
{
    const std::size_t length = udp::header_size + payload.size();
    const written size = check_room(flow, length, out);
    if (!size)
    {
        return size;
    }
    std::uint8_t* const header =
        put_header(out.data(), flow.service.address, flow.caller.address,
                   udp_protocol, length);
    std::fill_n(header, udp::header_size, std::uint8_t{0});
    put_ports(header, flow.service.port, flow.caller.port);
    put_u16(header + udp::length_at, length);
    std::copy(payload.begin(), payload.end(), header + udp::header_size);
    const std::uint16_t sum =
        segment_checksum(flow, udp_protocol, byte_view(header, length));
    // Zero would mean that there is no checksum: RFC 768.
    put_u16(header + udp::checksum_at, sum == 0 ? UINT16_MAX : sum);
    return size;
}

written write_reset(const refusal& refused, std::span<std::uint8_t> out)
{
    constexpr std::uint8_t data_offset = (tcp::header_size / 4) << 4U;
    const flow_key& flow = refused.flow;
    const written size = check_room(flow, tcp::header_size, out);
    if (!size)
    {
        return size;
    }
    std::uint8_t* const header =
        put_header(out.data(), flow.service.address, flow.caller.address,
                   tcp_protocol, tcp::header_size);
    std::fill_n(header, tcp::header_size, std::uint8_t{0});
    put_ports(header, flow.service.port, flow.caller.port);
    put_u32(header + tcp::sequence_at, refused.sequence);
    put_u32(header + tcp::acknowledgement_at, refused.acknowledgement);
    header[tcp::data_offset_at] = data_offset;
    header[tcp::flags_at] = tcp::rst | tcp::ack;
    put_u16(header + tcp::checksum_at,
            segment_checksum(flow, tcp_protocol,
                             byte_view(header, tcp::header_size)));
    return size;
}

written write_unreachable(const flow_key& flow, std::span<std::uint8_t> out)
{
    const bool v4 = flow.caller.address.is_v4();
    const std::size_t length = icmp::header_size +
                               ip_header_size(flow.caller.address) +
                               udp::header_size;
    const written size = check_room(flow, length, out);
    if (!size)
    {
        return size;
    }
    std::uint8_t* const header =
        put_header(out.data(), flow.service.address, flow.caller.address,
                   v4 ? icmp::v4_protocol : icmp::v6_protocol, length);
    std::fill_n(header, icmp::header_size, std::uint8_t{0});
    header[0] = v4 ? icmp::v4_unreachable : icmp::v6_unreachable;
    header[1] = v4 ? icmp::v4_port : icmp::v6_port;
    put_quoted(header + icmp::header_size, flow);
    put_u16(header + icmp::checksum_at,
            icmp_checksum(flow, byte_view(header, length)));
    return size;
}

} // namespace crowlink::internal
