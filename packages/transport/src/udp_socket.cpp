#include "crowlink/transport/udp_socket.hpp"

#include "crowlink/transport/datagram_batch.hpp"
#include "socket_address.hpp"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace crowlink
{

namespace
{

// Room for bursts; the kernel grants at most its own limit.
constexpr int buffer_bytes = 4 << 20;

tl::unexpected<error> failed(const endpoint& where, const char* what)
{
    return fail(error_kind::unavailable, where.to_string(),
                fmt::format("{}: {}", what, std::strerror(errno)));
}

void set_option(int handle, int level, int option, int value)
{
    // These options only tune; a kernel that refuses one still works.
    (void)::setsockopt(handle, level, option, &value, sizeof(value));
}

// A socket of the address's own family: some hosts have no IPv6.
int open_socket(const endpoint& beside)
{
    const int type = SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    if (beside.address.is_v4())
    {
        return ::socket(AF_INET, type, 0);
    }
    const int handle = ::socket(AF_INET6, type, 0);
    if (handle >= 0)
    {
        set_option(handle, IPPROTO_IPV6, IPV6_V6ONLY, 0);
    }
    return handle;
}

// As the kernel is to get it.
const sockaddr* raw(const internal::socket_address& address)
{
    return reinterpret_cast<const sockaddr*>(&address.bytes);
}

} // namespace

result<udp_socket> udp_socket::bind(const endpoint& local, sharing mode)
{
    udp_socket made(open_socket(local));
    made.m_is_v4 = local.address.is_v4();
    if (made.m_handle < 0)
    {
        return failed(local, "no socket");
    }
    set_option(made.m_handle, SOL_SOCKET, SO_RCVBUF, buffer_bytes);
    set_option(made.m_handle, SOL_SOCKET, SO_SNDBUF, buffer_bytes);
    if (mode == sharing::shared)
    {
        set_option(made.m_handle, SOL_SOCKET, SO_REUSEPORT, 1);
    }
    const auto address = internal::to_socket_address(local, made.m_is_v4);
    if (::bind(made.m_handle, raw(address), address.size) != 0)
    {
        return failed(local, "cannot be listened on");
    }
    const result<void> known = made.read_local();
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    return made;
}

result<udp_socket> udp_socket::connect(const endpoint& peer)
{
    udp_socket made(open_socket(peer));
    made.m_is_v4 = peer.address.is_v4();
    if (made.m_handle < 0)
    {
        return failed(peer, "no socket");
    }
    const auto address = internal::to_socket_address(peer, made.m_is_v4);
    if (::connect(made.m_handle, raw(address), address.size) != 0)
    {
        return failed(peer, "cannot be connected to");
    }
    const result<void> known = made.read_local();
    if (!known)
    {
        return tl::unexpected(known.error());
    }
    return made;
}

udp_socket::udp_socket(udp_socket&& other) noexcept
    : m_handle(std::exchange(other.m_handle, -1))
    , m_is_v4(other.m_is_v4)
    , m_local(other.m_local)
{
}

udp_socket& udp_socket::operator=(udp_socket&& other) noexcept
{
    std::swap(m_handle, other.m_handle);
    std::swap(m_is_v4, other.m_is_v4);
    std::swap(m_local, other.m_local);
    return *this;
}

udp_socket::~udp_socket()
{
    if (m_handle >= 0)
    {
        ::close(m_handle);
    }
}

std::size_t udp_socket::receive(datagram_batch& batch) const
{
    for (std::size_t at = 0; at < batch.capacity(); ++at)
    {
        batch.reset(at, batch.m_size);
    }
    const int received =
        ::recvmmsg(m_handle, batch.m_headers.data(),
                   static_cast<unsigned>(batch.capacity()), 0, nullptr);
    // An error is an ICMP message about an earlier datagram, or no data.
    batch.m_refused = received < 0 && errno == ECONNREFUSED;
    batch.m_used = received < 0 ? 0 : static_cast<std::size_t>(received);
    return batch.m_used;
}

udp_socket::send_outcome udp_socket::send(datagram_batch& batch) const
{
    send_outcome outcome;
    std::size_t done = 0;
    batch.address_for(m_is_v4);
    while (done < batch.m_used)
    {
        const int sent =
            ::sendmmsg(m_handle, batch.m_headers.data() + done,
                       static_cast<unsigned>(batch.m_used - done), 0);
        if (sent > 0)
        {
            done += static_cast<std::size_t>(sent);
            outcome.sent += static_cast<std::size_t>(sent);
            continue;
        }
        // The first one was refused; those behind it may still pass.
        ++done;
        ++outcome.dropped;
    }
    batch.clear();
    return outcome;
}

bool udp_socket::send(std::span<const std::uint8_t> bytes,
                      const endpoint& to) const
{
    const auto address = internal::to_socket_address(to, m_is_v4);
    const ssize_t sent = ::sendto(m_handle, bytes.data(), bytes.size(), 0,
                                  raw(address), address.size);
    return sent == static_cast<ssize_t>(bytes.size());
}

bool udp_socket::send(std::span<const std::uint8_t> bytes) const
{
    const ssize_t sent = ::send(m_handle, bytes.data(), bytes.size(), 0);
    return sent == static_cast<ssize_t>(bytes.size());
}

result<void> udp_socket::read_local()
{
    sockaddr_in6 address = {};
    socklen_t size = sizeof(address);
    if (::getsockname(m_handle, reinterpret_cast<sockaddr*>(&address), &size) !=
        0)
    {
        return failed(endpoint(), "has no local address");
    }
    m_local = internal::from_socket_address(address);
    return {};
}

} // namespace crowlink
