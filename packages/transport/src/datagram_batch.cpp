#include "crowlink/transport/datagram_batch.hpp"

#include "socket_address.hpp"

namespace crowlink
{

datagram_batch::datagram_batch(std::size_t count, std::size_t size)
    : m_size(size)
    // Not value-initialised, so that the kernel hands out pages on first use.
    , m_buffer(new std::uint8_t[count * size])
    , m_addresses(count)
    , m_vectors(count)
    , m_headers(count)
{
    for (std::size_t at = 0; at < count; ++at)
    {
        reset(at, size);
    }
}

std::span<const std::uint8_t> datagram_batch::bytes(std::size_t index) const
{
    return std::span(m_buffer.get() + index * m_size,
                     std::size_t{m_headers[index].msg_len});
}

std::span<std::uint8_t> datagram_batch::writable(std::size_t index)
{
    return std::span(m_buffer.get() + index * m_size,
                     std::size_t{m_headers[index].msg_len});
}

endpoint datagram_batch::peer(std::size_t index) const
{
    return internal::from_socket_address(m_addresses[index]);
}

bool datagram_batch::truncated(std::size_t index) const
{
    return (m_headers[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

std::span<std::uint8_t> datagram_batch::next()
{
    return std::span(m_buffer.get() + m_used * m_size, m_size);
}

void datagram_batch::commit(std::size_t size, const endpoint& to)
{
    reset(m_used, size);
    m_addresses[m_used] = internal::to_socket_address(to, false).bytes;
    if (to == endpoint())
    {
        m_headers[m_used].msg_hdr.msg_name = nullptr;
        m_headers[m_used].msg_hdr.msg_namelen = 0;
    }
    ++m_used;
}

// Batches are filled without knowing the socket that they leave by.
void datagram_batch::address_for(bool is_v4)
{
    for (std::size_t at = 0; is_v4 && at < m_used; ++at)
    {
        msghdr& header = m_headers[at].msg_hdr;
        if (header.msg_name == nullptr)
        {
            continue;
        }
        const auto address = internal::to_socket_address(peer(at), true);
        m_addresses[at] = address.bytes;
        header.msg_namelen = address.size;
    }
}

void datagram_batch::reset(std::size_t index, std::size_t size)
{
    m_vectors[index].iov_base = m_buffer.get() + index * m_size;
    m_vectors[index].iov_len = size;
    m_headers[index] = {};
    msghdr& header = m_headers[index].msg_hdr;
    header.msg_name = &m_addresses[index];
    header.msg_namelen = sizeof(sockaddr_in6);
    header.msg_iov = &m_vectors[index];
    header.msg_iovlen = 1;
}

} // namespace crowlink
