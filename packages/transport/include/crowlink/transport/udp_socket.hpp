#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace crowlink
{

class datagram_batch;

// A UDP socket that never blocks. A local IPv4 address makes an IPv4 socket,
// since some hosts have no IPv6; an IPv6 one takes mapped IPv4 addresses too.
class udp_socket
{
public:
    enum class sharing : std::uint8_t
    {
        exclusive,
        // Several sockets take turns at one address (SO_REUSEPORT).
        shared,
    };

    // What became of datagrams that were to be sent. Those that the kernel did
    // not take are dropped: callers of UDP expect loss.
    struct send_outcome
    {
        std::size_t sent = 0;
        std::size_t dropped = 0;
    };

    // A socket at a local address; port 0 lets the kernel choose one.
    static result<udp_socket> bind(const endpoint& local,
                                   sharing mode = sharing::exclusive);
    // A socket that exchanges datagrams with one peer only.
    static result<udp_socket> connect(const endpoint& peer);

    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    udp_socket(udp_socket&& other) noexcept;
    udp_socket& operator=(udp_socket&& other) noexcept;
    ~udp_socket();

    int handle() const { return m_handle; }
    const endpoint& local() const { return m_local; }

    // Fills the batch with what has arrived; yields the number of datagrams.
    std::size_t receive(datagram_batch& batch) const;
    // Sends the whole batch and clears it.
    send_outcome send(datagram_batch& batch) const;
    // Sends one datagram; false if the kernel did not take it.
    bool send(std::span<const std::uint8_t> bytes, const endpoint& to) const;
    bool send(std::span<const std::uint8_t> bytes) const;

private:
    explicit udp_socket(int handle) : m_handle(handle) {}

    result<void> read_local();

    int m_handle;
    bool m_is_v4 = false;
    endpoint m_local;
};

} // namespace crowlink
