#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/transport/curve_key_pair.hpp"
#include "crowlink/transport/message_channel.hpp"
#include "crowlink/transport/received_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <zmq.hpp>

namespace crowlink
{

// A ZeroMQ ROUTER that many DEALERs connect to. Owned by one thread.
class router_socket
{
public:
    // Binds; with a pair, peers need a key that the ZAP domain admits.
    static result<router_socket> bind(zmq::context_t& context,
                                      const endpoint& local,
                                      const std::optional<curve_key_pair>& pair,
                                      std::string_view zap_domain);

    // Where it is bound, with the port that was chosen.
    const endpoint& local() const { return m_local; }
    zmq::socket_ref socket() { return m_socket; }

    // The next message, or empty if there is none. Malformed ones are left out
    // and counted.
    std::optional<received_message> receive();
    // Queues a message; false if the connection is gone or its queue is full.
    bool send(std::string_view connection, message_channel channel,
              std::string_view bytes);

    std::uint64_t malformed() const { return m_malformed; }

private:
    explicit router_socket(zmq::socket_t socket) : m_socket(std::move(socket))
    {
    }

    zmq::socket_t m_socket;
    endpoint m_local;
    std::uint64_t m_malformed = 0;
};

} // namespace crowlink
