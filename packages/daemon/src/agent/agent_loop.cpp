#include "agent/agent_loop.hpp"

#include "agent/agent_loop_effects.hpp"

#include "agent/agent_report.hpp"
#include "agent/peer_codec.hpp"
#include "crowlink/agent/forward_opening.hpp"
#include "process/process_identity.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crowlink::internal
{

namespace
{

// Tokens of the poller; the sockets of flows follow.
constexpr poller::token control_token = 0;
constexpr poller::token tunnel_token = 1;
constexpr poller::token stage_token = 2;
constexpr poller::token first_flow_token = 3;
constexpr std::chrono::milliseconds tick_interval(50);
// Bounds what one round reads from the tunnel before time is looked at.
constexpr int batches_a_round = 8;

datagram_delivery make_delivery(datagram_delivery*,
                                const agent_role_settings& own,
                                udp_socket /*socket*/, poller& waiting)
{
    return datagram_delivery(own.upstream_address, waiting, first_flow_token);
}

ip_delivery make_delivery(ip_delivery*, const agent_role_settings& own,
                          udp_socket socket, poller& waiting)
{
    return ip_delivery(std::move(socket), own.upstream_address, waiting,
                       first_flow_token);
}

flow_delivery make_delivery(flow_delivery*, const agent_role_settings& own,
                            udp_socket socket, poller& waiting)
{
    return flow_delivery(std::move(socket), own.upstream_address,
                         own.flow_packets->caller_port, waiting,
                         first_flow_token);
}

} // namespace

template <class Delivery>
agent_loop<Delivery>::agent_loop(const agent_settings& core,
                                 const agent_role_settings& own,
                                 loop_sockets sockets, const key_ring& keys,
                                 agent_exchange& exchange, agent_gauges& gauges,
                                 log_sink& log, const log_settings& logging)
    : m_settings(core)
    , m_self(core.self)
    , m_tunnel(std::move(sockets.tunnel))
    , m_codec(keys)
    , m_exchange(exchange)
    , m_gauges(gauges)
    , m_log(log)
    , m_pauses(log, "agent")
    , m_limit(logging.decisions_per_second)
    , m_reset_limit(logging.decisions_per_second)
    , m_delivery(make_delivery(static_cast<Delivery*>(nullptr), own,
                               std::move(sockets.delivery), m_poller))
    , m_stage(own.upstream_address, m_poller, stage_token, core.self.started)
{
    m_poller.add(m_exchange.to_agent.handle(), control_token);
    m_poller.add(m_tunnel.handle(), tunnel_token);
    if (!own.flow_packets)
    {
        m_core.emplace(core, m_clock.now());
    }
}

template <class Delivery>
void agent_loop<Delivery>::run()
{
    m_now = m_clock.now();
    publish_report();
    while (!m_gauges.stopping)
    {
        const auto ready = m_poller.wait(tick_interval);
        m_now = m_clock.now();
        m_pauses.woke(m_now);
        for (const poller::token token : ready)
        {
            if (token == control_token)
            {
                take_from_control();
            }
            else if (token == tunnel_token)
            {
                take_from_tunnel();
            }
            else
            {
                take_from_upstream(token);
            }
        }
        advance();
        flush();
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_from_control()
{
    (void)m_exchange.to_agent.take();
    if constexpr (has_flow_packets)
    {
        take_status();
    }
    if (m_exchange.leave && !m_left)
    {
        m_left = true;
        handle(leave_requested{});
    }
    const std::shared_ptr<const service_view> view = m_exchange.view.read();
    if (view != nullptr && view != m_view)
    {
        m_view = view;
        m_stage.apply(m_now, view->declared);
        handle(view_changed{view});
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_from_tunnel()
{
    for (int round = 0; round < batches_a_round; ++round)
    {
        const std::size_t count = m_tunnel.receive(m_received);
        for (std::size_t at = 0; at < count; ++at)
        {
            const auto value = m_codec.decode(m_received.bytes(at));
            if (!value || m_received.truncated(at))
            {
                ++m_undecodable;
                continue;
            }
            take(m_received.peer(at), *value);
        }
        if (count < m_received.capacity())
        {
            return;
        }
    }
}

template <class Delivery>
void agent_loop<Delivery>::take(const endpoint& from, const datagram& value)
{
    if (const auto* packet = std::get_if<forward_datagram>(&value))
    {
        if constexpr (has_flow_packets)
        {
            const auto nature = m_delivery.inspect(packet->payload);
            if (!nature)
            {
                ++m_undecodable;
                return;
            }
            if (!m_core)
            {
                hand_on(*packet);
                return;
            }
            m_delivery.handling(&packet->header);
            handle(packet_arrived{packet->header, packet->payload, nature->need,
                                  nature->finishes, nature->comes_again,
                                  nature->sequence, nature->copy});
            m_delivery.handling(nullptr);
        }
        else
        {
            handle(packet_arrived{packet->header, packet->payload});
            take_stage_output();
        }
        return;
    }
    const auto* told = std::get_if<peer_datagram>(&value);
    const auto message =
        told == nullptr ? std::nullopt : decode_peer_message(told->message);
    if (!message)
    {
        ++m_undecodable;
        return;
    }
    handle(message_arrived{from, *message});
}

// Before it knows its upstream, the agent knows nothing of any flow. An opening
// packet need not wait for that.
template <class Delivery>
void agent_loop<Delivery>::hand_on(const forward_datagram& packet)
{
    packet_header header = packet.header;
    if (forward_opening(header, m_self.agent))
    {
        ++m_handed_on;
        forward(header.current[header.position].agent, header, packet.payload);
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_from_upstream(poller::token token)
{
    if constexpr (has_flow_packets)
    {
        m_delivery.receive(m_received, [this](const upstream_packet& packet)
                           { take_packet(packet); });
        return;
    }
    else
    {
        take_plain(token);
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_plain(poller::token token)
{
    if (token == stage_token)
    {
        m_stage.receive(m_now, m_received);
        take_stage_output();
        return;
    }
    if constexpr (!has_flow_packets)
    {
        const bool refused = m_delivery.receive(
            token, m_received,
            [this](const flow_key& flow, payload_view payload) {
                handle(upstream_answered{flow, payload});
            });
        if (refused)
        {
            handle(upstream_failed{});
        }
    }
}

// What the requests of callers led to: answers, and work begun and ended.
template <class Delivery>
void agent_loop<Delivery>::take_stage_output()
{
    if (!m_stage.active())
    {
        return;
    }
    m_stage.send();
    const admission_effects done = std::exchange(m_stage.effects(), {});
    for (const std::uint32_t weight : done.work_started)
    {
        handle(work_started{weight});
    }
    for (const std::uint32_t weight : done.work_ended)
    {
        handle(work_ended{weight});
    }
    for (const admission_datagram& each : done.to_callers)
    {
        const payload_view payload(
            reinterpret_cast<const std::uint8_t*>(each.bytes.data()),
            each.bytes.size());
        handle(upstream_answered{each.flow, payload});
    }
    for (const admission_decision& each : done.decisions)
    {
        if (m_log.enabled(log_level::info) && m_limit.allows(m_now))
        {
            m_log.write(to_log_line(m_self, each));
        }
    }
}

template <class Delivery>
void agent_loop<Delivery>::advance()
{
    // Before the tick, which decides by what is at the upstream.
    if constexpr (has_flow_packets)
    {
        take_work();
    }
    if (m_now >= m_next_tick)
    {
        m_next_tick = m_now + tick_interval;
        handle(tick{});
    }
    m_stage.advance(m_now);
    take_stage_output();
    m_gauges.flows = m_core ? m_core->flows() : 0;
    if (m_now >= m_next_report)
    {
        publish_report();
    }
}

template <class Delivery>
void agent_loop<Delivery>::publish_report()
{
    m_next_report = m_now + report_interval;
    const std::uint64_t omitted = m_limit.take_omitted();
    const std::uint64_t resets = m_reset_limit.take_omitted();
    if (omitted + resets > 0)
    {
        m_log.write(log_line(log_level::info, "decisions_omitted")
                        .field("upstream", m_self.id.value())
                        .field("lines", omitted)
                        .field("resets", resets));
    }
    agent_totals totals;
    if (m_core)
    {
        totals.flows = m_core->flows();
        totals.redirects = m_core->redirects();
        totals.load = m_core->load();
        totals.service_time =
            m_core->service_time(m_now).value_or(duration::zero());
        totals.relative_time_permille = m_core->relative_time_permille();
        totals.counts = m_core->counts();
        totals.held = m_core->held();
        totals.openings = m_core->openings();
    }
    totals.undecodable = m_undecodable;
    totals.handed_on = m_handed_on;
    totals.unsent = m_unsent + m_stage.unsent();
    totals.undelivered = m_undelivered;
    metrics report = to_metrics(m_self, totals);
    if constexpr (has_flow_packets)
    {
        m_delivery.answer_times().write_to(
            report, "crowlink_agent_answer_milliseconds",
            fmt::format("upstream=\"{}\"", m_self.id.value()));
        if (m_core)
        {
            m_core->held_times().write_to(
                report, "crowlink_agent_held_milliseconds",
                fmt::format("upstream=\"{}\"", m_self.id.value()));
        }
    }
    m_gauges.report.publish(std::make_shared<const metrics>(std::move(report)));
}

template class agent_loop<datagram_delivery>;
template class agent_loop<ip_delivery>;
template class agent_loop<flow_delivery>;

static_assert(agent_effects<agent_loop<datagram_delivery>>,
              "the loop must carry out what the agent asks for");

} // namespace crowlink::internal
