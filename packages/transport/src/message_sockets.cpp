#include "crowlink/transport/dealer_socket.hpp"
#include "crowlink/transport/router_socket.hpp"

#include <fmt/format.h>

namespace crowlink
{

namespace
{

// Bounds for what waits in memory and for what a peer may send.
constexpr int queue_messages = 1024;
constexpr std::int64_t largest_message = 16 << 20;
// A connection without a sign of life is closed and made anew.
constexpr int heartbeat_milliseconds = 2000;
constexpr int heartbeat_timeout_milliseconds = 6000;
constexpr int first_reconnect_milliseconds = 50;
constexpr int longest_reconnect_milliseconds = 2000;

std::string to_zmq_address(const endpoint& value)
{
    return "tcp://" + value.to_string();
}

void set_common(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::ipv6, true);
    socket.set(zmq::sockopt::sndhwm, queue_messages);
    socket.set(zmq::sockopt::rcvhwm, queue_messages);
    socket.set(zmq::sockopt::maxmsgsize, largest_message);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_milliseconds);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_milliseconds);
}

} // namespace

result<router_socket>
router_socket::bind(zmq::context_t& context, const endpoint& local,
                    const std::optional<curve_key_pair>& pair,
                    std::string_view zap_domain)
{
    try
    {
        router_socket made(zmq::socket_t(context, zmq::socket_type::router));
        set_common(made.m_socket);
        // Sending to a connection that is gone is an error, not a silence.
        made.m_socket.set(zmq::sockopt::router_mandatory, true);
        if (pair)
        {
            made.m_socket.set(zmq::sockopt::curve_server, true);
            made.m_socket.set(zmq::sockopt::curve_secretkey, pair->secret_key);
            made.m_socket.set(zmq::sockopt::zap_domain,
                              std::string(zap_domain));
        }
        made.m_socket.bind(to_zmq_address(local));
        const std::string bound =
            made.m_socket.get(zmq::sockopt::last_endpoint);
        made.m_local = local;
        made.m_local.port = static_cast<std::uint16_t>(
            std::stoul(bound.substr(bound.rfind(':') + 1)));
        return made;
    }
    catch (const zmq::error_t& failure)
    {
        return fail(error_kind::unavailable, local.to_string(),
                    fmt::format("cannot be listened on: {}", failure.what()));
    }
}

std::optional<router_socket::message> router_socket::receive()
{
    zmq::message_t connection;
    if (!m_socket.recv(connection, zmq::recv_flags::dontwait))
    {
        return std::nullopt;
    }
    message received;
    received.connection = connection.to_string();
    zmq::message_t bytes;
    bool more = connection.more();
    while (more)
    {
        (void)m_socket.recv(bytes, zmq::recv_flags::none);
        more = bytes.more();
    }
    received.bytes = bytes.to_string();
    const char* key = zmq_msg_gets(bytes.handle(), "User-Id");
    if (key != nullptr)
    {
        received.public_key = key;
    }
    return received;
}

bool router_socket::send(std::string_view connection, std::string_view bytes)
{
    try
    {
        const auto first = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
        if (!m_socket.send(zmq::buffer(connection), first))
        {
            return false;
        }
        return m_socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
            .has_value();
    }
    catch (const zmq::error_t&)
    {
        // No such connection any more.
        return false;
    }
}

result<dealer_socket>
dealer_socket::connect(zmq::context_t& context, const endpoint& peer,
                       const std::optional<curve_key_pair>& pair,
                       std::string_view peer_key)
{
    try
    {
        dealer_socket made(zmq::socket_t(context, zmq::socket_type::dealer));
        set_common(made.m_socket);
        made.m_socket.set(zmq::sockopt::reconnect_ivl,
                          first_reconnect_milliseconds);
        made.m_socket.set(zmq::sockopt::reconnect_ivl_max,
                          longest_reconnect_milliseconds);
        if (pair)
        {
            made.m_socket.set(zmq::sockopt::curve_serverkey,
                              std::string(peer_key));
            made.m_socket.set(zmq::sockopt::curve_publickey, pair->public_key);
            made.m_socket.set(zmq::sockopt::curve_secretkey, pair->secret_key);
        }
        made.m_socket.connect(to_zmq_address(peer));
        return made;
    }
    catch (const zmq::error_t& failure)
    {
        return fail(error_kind::unavailable, peer.to_string(),
                    fmt::format("cannot be connected to: {}", failure.what()));
    }
}

std::optional<std::string> dealer_socket::receive()
{
    zmq::message_t bytes;
    if (!m_socket.recv(bytes, zmq::recv_flags::dontwait))
    {
        return std::nullopt;
    }
    return bytes.to_string();
}

bool dealer_socket::send(std::string_view bytes)
{
    return m_socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
}

} // namespace crowlink
