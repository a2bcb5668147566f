#pragma once

#include "crowlink/base/ip_address.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace crowlink::internal
{

// Offsets and sizes of the headers of RFC 791, 8200, 768, 9293, 792 and 4443.
namespace ipv4
{
constexpr std::size_t header_size = 20;
constexpr std::size_t total_length_at = 2;
constexpr std::size_t fragment_at = 6;
constexpr std::size_t hop_limit_at = 8;
constexpr std::size_t protocol_at = 9;
constexpr std::size_t checksum_at = 10;
constexpr std::size_t source_at = 12;
constexpr std::size_t destination_at = 16;
constexpr std::size_t address_size = 4;
constexpr std::uint16_t dont_fragment = 0x4000;
// The flag for more fragments and the offset.
constexpr std::uint16_t fragment_mask = 0x3fff;
} // namespace ipv4

namespace ipv6
{
constexpr std::size_t header_size = 40;
constexpr std::size_t payload_length_at = 4;
constexpr std::size_t next_header_at = 6;
constexpr std::size_t hop_limit_at = 7;
constexpr std::size_t source_at = 8;
constexpr std::size_t destination_at = 24;
constexpr std::size_t address_size = 16;
} // namespace ipv6

namespace udp
{
constexpr std::size_t header_size = 8;
constexpr std::size_t length_at = 4;
constexpr std::size_t checksum_at = 6;
} // namespace udp

namespace tcp
{
constexpr std::size_t header_size = 20;
constexpr std::size_t sequence_at = 4;
constexpr std::size_t acknowledgement_at = 8;
constexpr std::size_t data_offset_at = 12;
constexpr std::size_t flags_at = 13;
constexpr std::size_t checksum_at = 16;
constexpr std::uint8_t fin = 0x01;
constexpr std::uint8_t syn = 0x02;
constexpr std::uint8_t rst = 0x04;
constexpr std::uint8_t ack = 0x10;
} // namespace tcp

namespace icmp
{
constexpr std::size_t header_size = 8;
constexpr std::size_t checksum_at = 2;
constexpr std::uint8_t v4_protocol = 1;
constexpr std::uint8_t v6_protocol = 58;
constexpr std::uint8_t v4_unreachable = 3;
constexpr std::uint8_t v4_port = 3;
constexpr std::uint8_t v6_unreachable = 1;
constexpr std::uint8_t v6_port = 4;
} // namespace icmp

constexpr std::size_t ip_packet_limit = 65535;
constexpr std::uint8_t sent_hop_limit = 64;
// Both TCP and UDP begin with the ports.
constexpr std::size_t source_port_at = 0;
constexpr std::size_t destination_port_at = 2;

inline std::uint16_t get_u16(const std::uint8_t* in)
{
    return static_cast<std::uint16_t>(in[0] << 8U | in[1]);
}

inline std::uint32_t get_u32(const std::uint8_t* in)
{
    return std::uint32_t{get_u16(in)} << 16U | get_u16(in + 2);
}

inline void put_u16(std::uint8_t* out, std::size_t value)
{
    out[0] = static_cast<std::uint8_t>(value >> 8U);
    out[1] = static_cast<std::uint8_t>(value);
}

inline void put_u32(std::uint8_t* out, std::uint32_t value)
{
    put_u16(out, value >> 16U);
    put_u16(out + 2, value & 0xffffU);
}

// An address as headers hold it: four bytes for IPv4, sixteen for IPv6.
inline std::span<const std::uint8_t> address_bytes(const ip_address& address)
{
    const std::span<const std::uint8_t> all(address.bytes());
    return address.is_v4() ? all.last(ipv4::address_size) : all;
}

} // namespace crowlink::internal
