#include "agent_thread.hpp"

#include "agent_loop.hpp"

#include <utility>

namespace crowlink::internal
{

namespace
{

agent_settings to_core(const upstream_record& first)
{
    agent_settings core;
    core.self = first;
    return core;
}

// The loop lives on its thread alone.
template <class Delivery>
std::thread start(const upstream_record& first, const agent_role_settings& own,
                  udp_socket tunnel, const key_ring& keys,
                  agent_exchange& exchange, agent_gauges& gauges, log_sink& log,
                  const log_settings& logging)
{
    auto loop = std::make_unique<agent_loop<Delivery>>(
        to_core(first), own, std::move(tunnel), keys, exchange, gauges, log,
        logging);
    return std::thread([running = std::move(loop)] { running->run(); });
}

} // namespace

agent_thread::agent_thread(const upstream_record& first,
                           const agent_role_settings& own, udp_socket tunnel,
                           const key_ring& keys, agent_exchange& exchange,
                           log_sink& log, const log_settings& logging)
    : m_exchange(exchange)
{
    const auto begin = own.delivery == delivery_mode::plain_datagrams
                           ? start<datagram_delivery>
                           : start<ip_delivery>;
    m_thread = begin(first, own, std::move(tunnel), keys, m_exchange, m_gauges,
                     log, logging);
}

agent_thread::~agent_thread()
{
    m_gauges.stopping = true;
    m_exchange.to_agent.signal();
    m_thread.join();
}

} // namespace crowlink::internal
