#include "crowlink/transport/dealer_socket.hpp"
#include "crowlink/transport/router_socket.hpp"

#include <cstring>
#include <fmt/format.h>
#include <iterator>
#include <vector>
#include <zmq_addon.hpp>

namespace crowlink
{

namespace
{

// Bounds for what waits in memory and for what a peer may send.
constexpr int queue_messages = 1024;
constexpr std::int64_t largest_message = 16 << 20;
// A connection without a sign of life is closed and made anew. A host that is
// back in touch counts again after four seconds, so its connections must have
// been found dead and made anew before that.
constexpr int heartbeat_milliseconds = 700;
constexpr int heartbeat_timeout_milliseconds = 2000;
constexpr int handshake_milliseconds = 2000;
// Bytes that nobody acknowledges for so long end the connection.
constexpr int unacknowledged_milliseconds = 2000;

// The frames of a message as each end sees them.
constexpr std::size_t router_connection = 0;
constexpr std::size_t router_sender = 1;
constexpr std::size_t router_channel = 2;
constexpr std::size_t router_bytes = 3;
constexpr std::size_t router_frames = 4;
constexpr std::size_t dealer_channel = 0;
constexpr std::size_t dealer_bytes = 1;
constexpr std::size_t dealer_frames = 2;

int whole_milliseconds(duration value)
{
    return static_cast<int>(
        std::chrono::ceil<std::chrono::milliseconds>(value).count());
}

bool is_channel(const zmq::message_t& frame)
{
    if (frame.size() != 1)
    {
        return false;
    }
    const auto tag = static_cast<message_channel>(*frame.data<char>());
    return tag == message_channel::replication ||
           tag == message_channel::membership;
}

message_channel channel_of(const zmq::message_t& frame)
{
    return static_cast<message_channel>(*frame.data<char>());
}

// Lets `events` tell when a connection of the socket is made, lost or refused.
void watch(zmq::socket_t& socket, zmq::socket_t& events)
{
    const std::string address =
        fmt::format("inproc://crowlink.events.{}", socket.handle());
    constexpr int changes = ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_CONNECT_RETRIED |
                            ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
    if (zmq_socket_monitor(socket.handle(), address.c_str(), changes) != 0)
    {
        throw zmq::error_t();
    }
    events.set(zmq::sockopt::linger, 0);
    events.connect(address);
}

// Takes all frames of the next message; false if there is none.
bool receive_frames(zmq::socket_t& socket, std::vector<zmq::message_t>& frames)
{
    try
    {
        return zmq::recv_multipart(socket, std::back_inserter(frames),
                                   zmq::recv_flags::dontwait)
            .has_value();
    }
    catch (const zmq::error_t&)
    {
        // Interrupted by a signal.
        return false;
    }
}

std::string to_zmq_address(const endpoint& value)
{
    return "tcp://" + value.to_string();
}

void set_common(zmq::socket_t& socket, const endpoint& beside)
{
    socket.set(zmq::sockopt::linger, 0);
    // Some hosts have no IPv6, and refuse its sockets.
    socket.set(zmq::sockopt::ipv6, !beside.address.is_v4());
    socket.set(zmq::sockopt::sndhwm, queue_messages);
    socket.set(zmq::sockopt::rcvhwm, queue_messages);
    socket.set(zmq::sockopt::maxmsgsize, largest_message);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_milliseconds);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_milliseconds);
    socket.set(zmq::sockopt::handshake_ivl, handshake_milliseconds);
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_milliseconds);
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
        set_common(made.m_socket, local);
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

std::optional<received_message> router_socket::receive()
{
    while (true)
    {
        std::vector<zmq::message_t> frames;
        if (!receive_frames(m_socket, frames))
        {
            return std::nullopt;
        }
        const bool whole = frames.size() == router_frames &&
                           is_channel(frames[router_channel]);
        if (!whole)
        {
            ++m_malformed;
            continue;
        }
        received_message received;
        received.connection = frames[router_connection].to_string();
        received.sender = host_id(frames[router_sender].to_string());
        received.channel = channel_of(frames[router_channel]);
        received.bytes = frames[router_bytes].to_string();
        const char* key =
            zmq_msg_gets(frames[router_bytes].handle(), "User-Id");
        if (key != nullptr)
        {
            received.public_key = key;
        }
        return received;
    }
}

bool router_socket::send(std::string_view connection, message_channel channel,
                         std::string_view bytes)
{
    try
    {
        const auto more = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
        const char tag = static_cast<char>(channel);
        if (!m_socket.send(zmq::buffer(connection), more))
        {
            return false;
        }
        // ZeroMQ takes all frames of a message once it took the first.
        (void)m_socket.send(zmq::buffer(&tag, 1), more);
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
dealer_socket::connect(zmq::context_t& context, const host_id& self,
                       const endpoint& peer,
                       const std::optional<curve_key_pair>& pair,
                       std::string_view peer_key, const connect_times& times)
{
    try
    {
        dealer_socket made(zmq::socket_t(context, zmq::socket_type::dealer),
                           zmq::socket_t(context, zmq::socket_type::pair),
                           self);
        watch(made.m_socket, made.m_events);
        set_common(made.m_socket, peer);
        made.m_socket.set(zmq::sockopt::connect_timeout,
                          whole_milliseconds(times.attempt));
        made.m_socket.set(zmq::sockopt::reconnect_ivl,
                          whole_milliseconds(times.first_wait));
        made.m_socket.set(zmq::sockopt::reconnect_ivl_max,
                          whole_milliseconds(times.longest_wait));
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

dealer_socket::~dealer_socket()
{
    // Without a handle it was moved from.
    if (m_socket.handle() != nullptr)
    {
        (void)zmq_socket_monitor(m_socket.handle(), nullptr, 0);
    }
}

std::optional<dealer_socket::message> dealer_socket::receive()
{
    while (true)
    {
        std::vector<zmq::message_t> frames;
        if (!receive_frames(m_socket, frames))
        {
            return std::nullopt;
        }
        if (frames.size() == dealer_frames &&
            is_channel(frames[dealer_channel]))
        {
            return message{channel_of(frames[dealer_channel]),
                           frames[dealer_bytes].to_string()};
        }
    }
}

bool dealer_socket::is_lost()
{
    std::vector<zmq::message_t> frames;
    while (receive_frames(m_events, frames))
    {
        // The first two bytes of an event are its number.
        std::uint16_t number = 0;
        std::memcpy(&number, frames.front().data(), sizeof(number));
        m_is_connected = number == ZMQ_EVENT_HANDSHAKE_SUCCEEDED;
        m_is_lost = !m_is_connected;
        frames.clear();
    }
    return m_is_lost;
}

bool dealer_socket::send(message_channel channel, std::string_view bytes)
{
    const auto more = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
    const char tag = static_cast<char>(channel);
    if (!m_socket.send(zmq::buffer(m_self.value()), more))
    {
        return false;
    }
    (void)m_socket.send(zmq::buffer(&tag, 1), more);
    return m_socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
}

} // namespace crowlink
