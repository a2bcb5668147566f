#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/transport/curve_key_pair.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <zmq.hpp>

namespace crowlink
{

// A ZeroMQ DEALER connected to one ROUTER; it reconnects by itself. Owned by
// one thread.
class dealer_socket
{
public:
    // With a pair, the peer must prove that it holds `peer_key`.
    static result<dealer_socket>
    connect(zmq::context_t& context, const endpoint& peer,
            const std::optional<curve_key_pair>& pair,
            std::string_view peer_key);

    zmq::socket_ref socket() { return m_socket; }

    // The next message, or empty if there is none.
    std::optional<std::string> receive();
    // Queues a message; false if the queue is full.
    bool send(std::string_view bytes);

private:
    explicit dealer_socket(zmq::socket_t socket) : m_socket(std::move(socket))
    {
    }

    zmq::socket_t m_socket;
};

} // namespace crowlink
