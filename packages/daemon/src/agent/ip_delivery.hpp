#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/packet/ip_in_udp_port.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace crowlink::internal
{

// Delivers whole IP packets in UDP to the upstream's host, whose kernel (its
// fou module) unwraps them; answers come back the same way.
class ip_delivery
{
public:
    ip_delivery(udp_socket socket, const endpoint& upstream, poller& waiting,
                poller::token token);

    // False if the payload could not be sent.
    bool deliver(const flow_key& flow, std::span<const std::uint8_t> payload);
    // Nothing is kept for a flow.
    void close(const flow_key& /*flow*/) {}

    // As datagram_delivery. Packets that are no answers are left out.
    template <class Take>
    bool receive(poller::token token, datagram_batch& batch, const Take& take);

    std::size_t open() const { return 0; }

private:
    // The upstream sends from the service to the caller.
    static flow_key reversed(const flow_key& flow)
    {
        return flow_key{flow.service, flow.caller, flow.protocol};
    }

    udp_socket m_socket;
    ip_in_udp_port m_port;
    std::vector<std::uint8_t> m_buffer;
};

template <class Take>
bool ip_delivery::receive(poller::token /*token*/, datagram_batch& batch,
                          const Take& take)
{
    const std::size_t count = m_socket.receive(batch);
    for (std::size_t at = 0; at < count; ++at)
    {
        const auto packet = m_port.parse(received_datagram{
            batch.peer(at), m_socket.local(), batch.bytes(at)});
        if (packet)
        {
            take(reversed(packet->flow), packet->payload);
        }
    }
    return batch.peer_refused();
}

} // namespace crowlink::internal
