#include "agent/datagram_delivery.hpp"

#include <utility>

namespace crowlink::internal
{

bool datagram_delivery::deliver(const flow_key& flow,
                                std::span<const std::uint8_t> payload)
{
    const auto known = m_flows.find(flow);
    const flow_socket* used =
        known == m_flows.end() ? open_socket(flow) : &known->second;
    return used != nullptr && used->socket.send(payload);
}

void datagram_delivery::close(const flow_key& flow)
{
    const auto known = m_flows.find(flow);
    if (known == m_flows.end())
    {
        return;
    }
    m_poller.remove(known->second.socket.handle());
    m_tokens.erase(known->second.token);
    m_flows.erase(known);
}

datagram_delivery::flow_socket*
datagram_delivery::open_socket(const flow_key& flow)
{
    result<udp_socket> socket = udp_socket::connect(m_upstream);
    if (!socket)
    {
        return nullptr;
    }
    const poller::token token = m_next++;
    m_poller.add(socket->handle(), token);
    m_tokens.emplace(token, flow);
    return &m_flows.emplace(flow, flow_socket{std::move(*socket), token})
                .first->second;
}

} // namespace crowlink::internal
