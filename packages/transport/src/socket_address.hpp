#pragma once

#include "crowlink/base/endpoint.hpp"

#include <cstring>
#include <netinet/in.h>

namespace crowlink::internal
{

inline sockaddr_in6 to_socket_address(const endpoint& value)
{
    sockaddr_in6 address = {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(value.port);
    std::memcpy(&address.sin6_addr, value.address.bytes().data(),
                ip_address::byte_count);
    return address;
}

inline endpoint from_socket_address(const sockaddr_in6& address)
{
    ip_address::bytes_type bytes{};
    std::memcpy(bytes.data(), &address.sin6_addr, bytes.size());
    return endpoint{ip_address(bytes), ntohs(address.sin6_port)};
}

} // namespace crowlink::internal
