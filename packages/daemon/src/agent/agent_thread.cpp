#include "agent/agent_thread.hpp"

#include "agent/agent_loop.hpp"
#include "control/lease_scale.hpp"

#include <utility>

namespace crowlink::internal
{

namespace
{

agent_settings to_core(const upstream_record& first,
                       const daemon_settings& settings,
                       const agent_role_settings& own)
{
    agent_settings core;
    core.self = first;
    core.members_known_after = lease_scale(settings)(core.members_known_after);
    if (own.flow_packets)
    {
        core.tcp_idle = std::chrono::seconds(own.flow_packets->idle_seconds);
        core.work_per_slot = own.flow_packets->work_per_slot;
    }
    return core;
}

// The socket that a delivery needs beside the tunnel.
result<udp_socket> bind_delivery(const agent_role_settings& own)
{
    if (own.flow_packets)
    {
        return udp_socket::bind(own.flow_packets->outbound);
    }
    endpoint any_port = own.tunnel;
    any_port.port = 0;
    return udp_socket::bind(any_port);
}

// The loop lives on its thread alone.
template <class Delivery>
std::thread run(const upstream_record& first, const daemon_settings& settings,
                const agent_role_settings& own, loop_sockets sockets,
                const key_ring& keys, agent_exchange& exchange,
                agent_gauges& gauges, log_sink& log)
{
    auto loop = std::make_unique<agent_loop<Delivery>>(
        to_core(first, settings, own), own, std::move(sockets), keys, exchange,
        gauges, log, settings.log);
    return std::thread([running = std::move(loop)] { running->run(); });
}

} // namespace

result<std::unique_ptr<agent_thread>> agent_thread::start(
    const upstream_record& first, const daemon_settings& settings,
    const agent_role_settings& own, udp_socket tunnel, const key_ring& keys,
    agent_exchange& exchange, log_sink& log)
{
    auto delivery = bind_delivery(own);
    if (!delivery)
    {
        return tl::unexpected(delivery.error());
    }
    auto begin = run<datagram_delivery>;
    if (own.delivery == delivery_mode::ip_in_udp)
    {
        begin = run<ip_delivery>;
    }
    if (own.delivery == delivery_mode::flow_packets)
    {
        begin = run<flow_delivery>;
    }
    std::unique_ptr<agent_thread> made(new agent_thread(exchange));
    made->m_thread =
        begin(first, settings, own,
              loop_sockets{std::move(tunnel), std::move(*delivery)}, keys,
              exchange, made->m_gauges, log);
    return made;
}

agent_thread::~agent_thread()
{
    m_gauges.stopping = true;
    m_exchange.to_agent.signal();
    m_thread.join();
}

} // namespace crowlink::internal
