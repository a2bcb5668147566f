#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/transport/curve_key_pair.hpp"
#include "crowlink/transport/message_channel.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <zmq.hpp>

namespace crowlink
{

// How a connection is made again and again until it stands.
struct connect_times
{
    // A host without power answers nothing, and the kernel repeats its opening
    // packet after 1, 3, 7 s: a new attempt finds a host that is back sooner.
    // It must exceed the longest round trip.
    duration attempt = std::chrono::milliseconds(500);
    // The wait between attempts, doubled up to the longest.
    duration first_wait = std::chrono::milliseconds(50);
    duration longest_wait = std::chrono::milliseconds(250);
};

// A ZeroMQ DEALER connected to one ROUTER; it reconnects by itself. Owned by
// one thread.
class dealer_socket
{
public:
    // A message from the peer.
    struct message
    {
        message_channel channel = message_channel::membership;
        std::string bytes;
    };

    // `self` is sent with each message. With a pair, the peer must prove that
    // it holds `peer_key`.
    static result<dealer_socket>
    connect(zmq::context_t& context, const host_id& self, const endpoint& peer,
            const std::optional<curve_key_pair>& pair,
            std::string_view peer_key, const connect_times& times = {});

    dealer_socket(dealer_socket&&) = default;
    dealer_socket& operator=(dealer_socket&&) = delete;
    // Ends the events before their receiver: a thread of ZeroMQ that has an
    // event for a receiver that is gone waits for ever, and with it all sockets
    // of the context.
    ~dealer_socket();

    zmq::socket_ref socket() { return m_socket; }

    // The next message, or empty if there is none.
    std::optional<message> receive();
    // Readable when the state of the connection changes.
    zmq::socket_ref events() { return m_events; }
    // Takes in what `events` holds. Whether the connection broke or was
    // refused, and was not made again since.
    bool is_lost();
    // Whether the connection stood at the last call of is_lost.
    bool is_connected() const { return m_is_connected; }

    // Queues a message; false if the queue is full.
    bool send(message_channel channel, std::string_view bytes);

private:
    dealer_socket(zmq::socket_t socket, zmq::socket_t events, host_id self)
        : m_socket(std::move(socket))
        , m_events(std::move(events))
        , m_self(std::move(self))
    {
    }

    zmq::socket_t m_socket;
    zmq::socket_t m_events;
    bool m_is_lost = false;
    bool m_is_connected = false;
    host_id m_self;
};

} // namespace crowlink
