#include "agent/request_stage.hpp"

#include <utility>

namespace crowlink::internal
{

namespace
{

admission_settings to_core(const service& declared)
{
    admission_settings core;
    core.slots = declared.limits.slots;
    core.kinds = declared.kinds;
    return core;
}

std::string_view text_of(std::span<const std::uint8_t> bytes)
{
    return std::string_view(reinterpret_cast<const char*>(bytes.data()),
                            bytes.size());
}

} // namespace

request_stage::request_stage(const endpoint& upstream, poller& waiting,
                             poller::token token, incarnation own)
    : m_upstream(upstream), m_poller(waiting), m_token(token), m_own(own)
{
}

void request_stage::apply(time_point now, const service& declared)
{
    if (!m_core && declared.kinds.empty())
    {
        return;
    }
    if (!m_core)
    {
        m_core.emplace(to_core(declared), m_own);
        (void)connect();
        return;
    }
    m_core->apply(now, to_core(declared), m_effects);
}

bool request_stage::connect()
{
    result<udp_socket> socket = udp_socket::connect(m_upstream);
    if (!socket)
    {
        return false;
    }
    m_socket.emplace(std::move(*socket));
    m_poller.add(m_socket->handle(), m_token);
    return true;
}

void request_stage::take_from_caller(time_point now, const flow_key& flow,
                                     std::span<const std::uint8_t> payload)
{
    m_core->handle_datagram(now, flow, text_of(payload), m_effects);
}

void request_stage::receive(time_point now, datagram_batch& batch)
{
    if (!m_socket)
    {
        return;
    }
    const std::size_t count = m_socket->receive(batch);
    if (batch.peer_refused() && !m_is_lost)
    {
        m_is_lost = true;
        m_core->upstream_lost(m_effects);
        // A closed port is found by sending; only that can find it open again.
        m_core->upstream_ready(now, m_effects);
    }
    for (std::size_t at = 0; at < count; ++at)
    {
        m_is_lost = false;
        m_core->handle_upstream(now, text_of(batch.bytes(at)), m_effects);
    }
}

void request_stage::advance(time_point now)
{
    if (m_core && now >= m_core->next_wakeup())
    {
        m_core->advance(now, m_effects);
    }
}

void request_stage::send()
{
    for (const std::string& each : m_effects.to_upstream)
    {
        const std::span bytes(
            reinterpret_cast<const std::uint8_t*>(each.data()), each.size());
        const bool sent = (m_socket || connect()) && m_socket->send(bytes);
        m_unsent += sent ? 0 : 1;
    }
    m_effects.to_upstream.clear();
}

} // namespace crowlink::internal
