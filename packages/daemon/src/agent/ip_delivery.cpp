#include "agent/ip_delivery.hpp"

#include <utility>

namespace crowlink::internal
{

ip_delivery::ip_delivery(udp_socket socket, const endpoint& upstream,
                         poller& waiting, poller::token token)
    : m_socket(std::move(socket))
    , m_port(m_socket.local(), upstream)
    , m_buffer(datagram_batch::default_size)
{
    waiting.add(m_socket.handle(), token);
}

bool ip_delivery::deliver(const flow_key& flow,
                          std::span<const std::uint8_t> payload)
{
    // Wraps an answer of the "service" that is the caller here.
    const auto packet = m_port.answer(reversed(flow), payload, m_buffer);
    return packet && m_socket.send(packet->bytes);
}

} // namespace crowlink::internal
