#pragma once

#include "crowlink/packet.hpp"

#include <cstdint>
#include <vector>

namespace crowlink::sample
{

using bytes = std::vector<std::uint8_t>;

inline endpoint at(const char* text)
{
    return *endpoint::parse(text);
}

inline flow_key v4_flow(transport protocol)
{
    return flow_key{at("203.0.113.9:40000"), at("192.0.2.1:443"), protocol};
}

inline flow_key v6_flow(transport protocol)
{
    return flow_key{at("[2001:db8::9]:40000"), at("[2001:db8:1::1]:443"),
                    protocol};
}

// The Internet checksum, two bytes at a time, as RFC 1071 words it.
inline std::uint16_t naive_checksum(const bytes& data)
{
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < data.size(); ++i)
    {
        sum += i % 2 == 0 ? data[i] * 256U : data[i];
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(~sum);
}

inline void append(bytes& out, const ip_address& address)
{
    const auto& raw = address.bytes();
    out.insert(out.end(), raw.begin() + (address.is_v4() ? 12 : 0), raw.end());
}

inline void append_u16(bytes& out, std::size_t value)
{
    out.push_back(static_cast<std::uint8_t>(value >> 8U));
    out.push_back(static_cast<std::uint8_t>(value));
}

inline void set_u16(bytes& out, std::size_t place, std::size_t value)
{
    out[place] = static_cast<std::uint8_t>(value >> 8U);
    out[place + 1] = static_cast<std::uint8_t>(value);
}

// The pseudo header and segment, whose checksum must be zero.
inline bytes with_pseudo_header(const endpoint& source, const endpoint& target,
                                std::uint8_t protocol, const bytes& segment)
{
    bytes all;
    append(all, source.address);
    append(all, target.address);
    append_u16(all, 0);
    append_u16(all, segment.size());
    append_u16(all, 0);
    append_u16(all, protocol);
    all.insert(all.end(), segment.begin(), segment.end());
    return all;
}

// An IP packet from source to target around a segment.
inline bytes ip(const endpoint& source, const endpoint& target,
                std::uint8_t protocol, const bytes& segment)
{
    bytes out;
    if (source.address.is_v4())
    {
        out = {0x45, 0, 0, 0, 0, 0, 0x40, 0, 64, protocol, 0, 0};
        set_u16(out, 2, 20 + segment.size());
    }
    else
    {
        out = {0x60, 0, 0, 0, 0, 0, protocol, 64};
        set_u16(out, 4, segment.size());
    }
    append(out, source.address);
    append(out, target.address);
    if (source.address.is_v4())
    {
        set_u16(out, 10, naive_checksum(out));
    }
    out.insert(out.end(), segment.begin(), segment.end());
    return out;
}

inline bytes udp_packet(const endpoint& source, const endpoint& target,
                        const bytes& payload)
{
    bytes segment;
    append_u16(segment, source.port);
    append_u16(segment, target.port);
    append_u16(segment, 8 + payload.size());
    append_u16(segment, 0);
    segment.insert(segment.end(), payload.begin(), payload.end());
    set_u16(segment, 6,
            naive_checksum(with_pseudo_header(source, target, 17, segment)));
    return ip(source, target, 17, segment);
}

inline bytes tcp_packet(const endpoint& source, const endpoint& target,
                        std::uint8_t flags, const bytes& payload)
{
    bytes segment;
    append_u16(segment, source.port);
    append_u16(segment, target.port);
    const bytes rest{0, 0, 1, 0, 0, 0, 2, 0, 0x50, flags, 0x20, 0, 0, 0, 0, 0};
    segment.insert(segment.end(), rest.begin(), rest.end());
    segment.insert(segment.end(), payload.begin(), payload.end());
    set_u16(segment, 16,
            naive_checksum(with_pseudo_header(source, target, 6, segment)));
    return ip(source, target, 6, segment);
}

} // namespace crowlink::sample
