#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace crowlink::internal
{

// A connected, non-blocking UDP socket.
class udp_socket
{
public:
    static result<udp_socket> connect(const endpoint& to);

    udp_socket(udp_socket&& other) noexcept;
    udp_socket& operator=(udp_socket&& other) noexcept;
    ~udp_socket();

    int descriptor() const { return m_descriptor; }

    // Sends a datagram. If it cannot be sent now, it is dropped, as if lost in
    // the network.
    void send(std::string_view datagram);

    // Returns the next received datagram, if there is one.
    std::optional<std::string> receive();

private:
    explicit udp_socket(int descriptor) : m_descriptor(descriptor) {}

    int m_descriptor = -1;
};

} // namespace crowlink::internal
