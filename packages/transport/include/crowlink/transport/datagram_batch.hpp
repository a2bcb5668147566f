#pragma once

#include "crowlink/base/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace crowlink
{

// Buffers for the datagrams of one call of recvmmsg or sendmmsg. They are
// allocated once; pages that no datagram reaches are never touched.
class datagram_batch
{
public:
    static constexpr std::size_t default_count = 32;
    // The largest UDP payload and what our own headers add to it.
    static constexpr std::size_t default_size = 65536 + 512;

    explicit datagram_batch(std::size_t count = default_count,
                            std::size_t size = default_size);

    std::size_t capacity() const { return m_headers.size(); }
    std::size_t size() const { return m_used; }
    bool full() const { return m_used == capacity(); }
    void clear() { m_used = 0; }

    // The received bytes and where they came from.
    std::span<const std::uint8_t> bytes(std::size_t index) const;
    // The same, to be changed in place.
    std::span<std::uint8_t> writable(std::size_t index);
    endpoint peer(std::size_t index) const;
    // Whether the datagram was larger than its buffer.
    bool truncated(std::size_t index) const;

    // Whether the last receive found that the peer's port is closed.
    bool peer_refused() const { return m_refused; }

    // The free buffer that the next `commit` sends; the batch isn't full.
    std::span<std::uint8_t> next();
    // Adds the first bytes of `next()`, to be sent to an address; an
    // unspecified one is for connected sockets.
    void commit(std::size_t size, const endpoint& to);

private:
    friend class udp_socket;

    void reset(std::size_t index, std::size_t size);
    // Puts the addresses of what is to be sent into the socket's family.
    void address_for(bool is_v4);

    std::size_t m_size;
    std::size_t m_used = 0;
    bool m_refused = false;
    std::unique_ptr<std::uint8_t[]> m_buffer;
    std::vector<sockaddr_in6> m_addresses;
    std::vector<iovec> m_vectors;
    std::vector<mmsghdr> m_headers;
};

} // namespace crowlink
