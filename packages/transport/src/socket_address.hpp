#pragma once

#include "crowlink/base/endpoint.hpp"

#include <array>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>

namespace crowlink::internal
{

// An address as a socket of one family takes it.
struct socket_address
{
    // Holds a sockaddr_in where the family is IPv4.
    sockaddr_in6 bytes{};
    socklen_t size = sizeof(sockaddr_in6);
};

// Where the four bytes of a mapped IPv4 address start.
constexpr std::size_t v4_offset = ip_address::byte_count - sizeof(in_addr);

// `as_v4` for sockets of the IPv4 family; an IPv6 address is then cut to its
// last four bytes, which nobody answers at.
inline socket_address to_socket_address(const endpoint& value, bool as_v4)
{
    socket_address made;
    if (as_v4)
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(value.port);
        std::memcpy(&address.sin_addr, value.address.bytes().data() + v4_offset,
                    sizeof(address.sin_addr));
        made.size = sizeof(address);
        std::memcpy(&made.bytes, &address, sizeof(address));
        return made;
    }
    made.bytes.sin6_family = AF_INET6;
    made.bytes.sin6_port = htons(value.port);
    std::memcpy(&made.bytes.sin6_addr, value.address.bytes().data(),
                ip_address::byte_count);
    return made;
}

// Reads an address of either family.
inline endpoint from_socket_address(const sockaddr_in6& value)
{
    if (value.sin6_family == AF_INET)
    {
        sockaddr_in address = {};
        std::memcpy(&address, &value, sizeof(address));
        std::array<std::uint8_t, sizeof(in_addr)> bytes{};
        std::memcpy(bytes.data(), &address.sin_addr, bytes.size());
        return endpoint{ip_address::from_v4(bytes), ntohs(address.sin_port)};
    }
    ip_address::bytes_type bytes{};
    std::memcpy(bytes.data(), &value.sin6_addr, bytes.size());
    return endpoint{ip_address(bytes), ntohs(value.sin6_port)};
}

} // namespace crowlink::internal
