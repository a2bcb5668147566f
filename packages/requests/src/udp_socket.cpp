#include "udp_socket.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t max_datagram_size = 65536;
// Offset of the IPv4 address in an IPv4-mapped IPv6 address.
constexpr std::size_t v4_offset = 12;

struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

socket_address to_native(const endpoint& from)
{
    socket_address to;
    const ip_address::bytes_type& bytes = from.address.bytes();
    if (from.address.is_v4())
    {
        sockaddr_in v4{};
        v4.sin_family = AF_INET;
        v4.sin_port = htons(from.port);
        std::memcpy(&v4.sin_addr, bytes.data() + v4_offset, sizeof v4.sin_addr);
        std::memcpy(&to.storage, &v4, sizeof v4);
        to.size = sizeof v4;
        return to;
    }
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(from.port);
    std::memcpy(&v6.sin6_addr, bytes.data(), sizeof v6.sin6_addr);
    std::memcpy(&to.storage, &v6, sizeof v6);
    to.size = sizeof v6;
    return to;
}

tl::unexpected<error> system_error(const endpoint& at, const char* action)
{
    return fail(error_kind::unavailable, at.to_string(),
                std::string(action) + ": " + std::strerror(errno));
}

} // namespace

result<udp_socket> udp_socket::connect(const endpoint& to)
{
    const socket_address native = to_native(to);
    udp_socket opened(::socket(native.storage.ss_family,
                               SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (opened.m_descriptor < 0)
    {
        return system_error(to, "cannot open a socket");
    }
    if (::connect(opened.m_descriptor,
                  reinterpret_cast<const sockaddr*>(&native.storage),
                  native.size) != 0)
    {
        return system_error(to, "cannot connect");
    }
    return opened;
}

udp_socket::udp_socket(udp_socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

udp_socket::~udp_socket()
{
    if (m_descriptor >= 0)
    {
        ::close(m_descriptor);
    }
}

void udp_socket::send(std::string_view datagram)
{
    (void)::send(m_descriptor, datagram.data(), datagram.size(), 0);
}

std::optional<std::string> udp_socket::receive()
{
    std::array<char, max_datagram_size> buffer;
    const ssize_t size = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (size < 0)
    {
        return std::nullopt;
    }
    return std::string(buffer.data(), static_cast<std::size_t>(size));
}

} // namespace crowlink::internal
