#include "ip_packet.hpp"

#include "checksum.hpp"
#include "ip_fields.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

using byte_view = std::span<const std::uint8_t>;
using read_result = tl::expected<ip_packet, packet_drop>;

tl::unexpected<packet_drop> drop(packet_drop reason)
{
    return tl::unexpected<packet_drop>(reason);
}

ip_address v6_address(const std::uint8_t* bytes)
{
    ip_address::bytes_type address{};
    std::copy_n(bytes, address.size(), address.begin());
    return ip_address(address);
}

read_result read_v4(byte_view bytes)
{
    constexpr std::uint8_t length_mask = 0x0f;
    constexpr std::size_t word = 4;
    if (bytes.size() < ipv4::header_size)
    {
        return drop(packet_drop::truncated);
    }
    const std::size_t header = (bytes[0] & length_mask) * word;
    const std::size_t total = get_u16(bytes.data() + ipv4::total_length_at);
    if (header < ipv4::header_size || total < header)
    {
        return drop(packet_drop::malformed);
    }
    if (total > bytes.size())
    {
        return drop(packet_drop::truncated);
    }
    checksum sum;
    sum.add(bytes.first(header));
    if (sum.value() != 0)
    {
        return drop(packet_drop::malformed);
    }
    const auto fragment = get_u16(bytes.data() + ipv4::fragment_at);
    if ((fragment & ipv4::fragment_mask) != 0)
    {
        return drop(packet_drop::fragment);
    }
    const byte_view whole = bytes.first(total);
    constexpr std::size_t size = ipv4::address_size;
    return ip_packet{
        ip_address::from_v4(whole.subspan<ipv4::source_at, size>()),
        ip_address::from_v4(whole.subspan<ipv4::destination_at, size>()),
        whole[ipv4::protocol_at], whole, whole.subspan(header)};
}

// The extension headers that a node on the way may pass over: RFC 8200,
// section 4.
bool is_extension(std::uint8_t protocol)
{
    constexpr std::uint8_t hop_by_hop = 0;
    constexpr std::uint8_t routing = 43;
    constexpr std::uint8_t destination_options = 60;
    return protocol == hop_by_hop || protocol == routing ||
           protocol == destination_options;
}

// Moves protocol and segment past the extension headers.
read_result skip_extensions(ip_packet packet)
{
    constexpr std::uint8_t fragment_header = 44;
    constexpr int extension_limit = 4;
    constexpr std::size_t unit = 8;
    for (int passed = 0; is_extension(packet.protocol); ++passed)
    {
        if (passed == extension_limit)
        {
            return drop(packet_drop::unsupported);
        }
        if (packet.segment.size() < unit)
        {
            return drop(packet_drop::truncated);
        }
        const std::size_t size = (packet.segment[1] + 1) * unit;
        if (packet.segment.size() < size)
        {
            return drop(packet_drop::truncated);
        }
        packet.protocol = packet.segment[0];
        packet.segment = packet.segment.subspan(size);
    }
    if (packet.protocol == fragment_header)
    {
        return drop(packet_drop::fragment);
    }
    return packet;
}

read_result read_v6(byte_view bytes)
{
    if (bytes.size() < ipv6::header_size)
    {
        return drop(packet_drop::truncated);
    }
    const std::size_t total =
        ipv6::header_size + get_u16(bytes.data() + ipv6::payload_length_at);
    if (total > bytes.size())
    {
        return drop(packet_drop::truncated);
    }
    const byte_view whole = bytes.first(total);
    const ip_packet packet{v6_address(whole.data() + ipv6::source_at),
                           v6_address(whole.data() + ipv6::destination_at),
                           whole[ipv6::next_header_at], whole,
                           whole.subspan(ipv6::header_size)};
    // An IPv4 address has no place in an IPv6 header: RFC 4942, section 2.2.
    if (packet.source.is_v4() || packet.destination.is_v4())
    {
        return drop(packet_drop::malformed);
    }
    return skip_extensions(packet);
}

} // namespace

tl::expected<ip_packet, packet_drop>
read_ip(std::span<const std::uint8_t> bytes)
{
    if (bytes.empty())
    {
        return drop(packet_drop::truncated);
    }
    constexpr unsigned version_shift = 4;
    switch (bytes[0] >> version_shift)
    {
    case 4:
        return read_v4(bytes);
    case 6:
        return read_v6(bytes);
    default:
        return drop(packet_drop::unsupported);
    }
}

} // namespace crowlink::internal
