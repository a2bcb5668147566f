#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace crowlink::internal
{

// Delivers payloads over one connected UDP socket for each flow, so that the
// socket tells which flow an answer belongs to.
class datagram_delivery
{
public:
    // Sockets are added to the poller with tokens from `first_token` on.
    datagram_delivery(const endpoint& upstream, poller& waiting,
                      poller::token first_token)
        : m_upstream(upstream), m_poller(waiting), m_next(first_token)
    {
    }

    // False if the payload could not be sent.
    bool deliver(const flow_key& flow, std::span<const std::uint8_t> payload);
    void close(const flow_key& flow);

    // Reads the socket of a token; calls take(flow, payload) for each answer.
    // Yields whether the upstream's port turned out to be closed.
    template <class Take>
    bool receive(poller::token token, datagram_batch& batch, const Take& take);

    std::size_t open() const { return m_flows.size(); }

private:
    struct flow_socket
    {
        udp_socket socket;
        poller::token token = 0;
    };

    flow_socket* open_socket(const flow_key& flow);

    endpoint m_upstream;
    poller& m_poller;
    poller::token m_next;
    std::unordered_map<flow_key, flow_socket> m_flows;
    std::unordered_map<poller::token, flow_key> m_tokens;
};

template <class Take>
bool datagram_delivery::receive(poller::token token, datagram_batch& batch,
                                const Take& take)
{
    const auto named = m_tokens.find(token);
    if (named == m_tokens.end())
    {
        return false;
    }
    // A copy: taking an answer may close the flow.
    const flow_key flow = named->second;
    const std::size_t count = m_flows.at(flow).socket.receive(batch);
    for (std::size_t at = 0; at < count; ++at)
    {
        if (!batch.truncated(at))
        {
            take(flow, batch.bytes(at));
        }
    }
    return batch.peer_refused();
}

} // namespace crowlink::internal
