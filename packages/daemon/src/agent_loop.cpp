#include "agent_loop.hpp"

#include "agent_report.hpp"
#include "caller_notice.hpp"
#include "crowlink/packet/tcp_reset.hpp"
#include "peer_codec.hpp"
#include "process_identity.hpp"

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

// As many upstreams in a row as may still have to be announced as gone.
constexpr std::size_t records_kept = 16;

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
    , m_limit(logging.decisions_per_second)
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
            m_delivery.handling(&packet->header, packet->payload);
            handle(packet_arrived{packet->header, packet->payload, nature->need,
                                  nature->finishes, nature->comes_again});
            m_delivery.handling(nullptr, {});
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
    if (m_now >= m_next_tick)
    {
        m_next_tick = m_now + tick_interval;
        handle(tick{});
    }
    if constexpr (has_flow_packets)
    {
        take_work();
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
void agent_loop<Delivery>::deliver(const flow_key& flow, payload_view payload)
{
    if (m_stage.active())
    {
        m_stage.take_from_caller(m_now, flow, payload);
        return;
    }
    m_undelivered += m_delivery.deliver(flow, payload) ? 0 : 1;
}

template <class Delivery>
void agent_loop<Delivery>::forward(const endpoint& to,
                                   const packet_header& header,
                                   payload_view payload)
{
    send_datagram(to, forward_datagram{header, payload});
}

template <class Delivery>
void agent_loop<Delivery>::answer(const endpoint& to, const flow_key& flow,
                                  payload_view payload)
{
    // Those that reach callers by themselves sent it already.
    if constexpr (!has_flow_packets)
    {
        send_datagram(to, answer_datagram{flow, payload});
    }
}

template <class Delivery>
void agent_loop<Delivery>::refuse(const endpoint& to, const flow_key& flow,
                                  payload_view payload,
                                  const flow_refusal& told)
{
    if constexpr (has_flow_packets)
    {
        m_delivery.reset(flow, false);
        return;
    }
    notice_datagram notice = to_notice(flow, told);
    if (flow.protocol == transport::tcp)
    {
        const auto numbers = reset_answering(payload);
        if (!numbers)
        {
            // Not a segment that may be answered.
            return;
        }
        notice.sequence = numbers->sequence;
        notice.acknowledgement = numbers->acknowledgement;
    }
    send_datagram(to, notice);
}

template <class Delivery>
void agent_loop<Delivery>::reset_caller(const endpoint& to,
                                        const flow_key& flow,
                                        const flow_refusal& told)
{
    if constexpr (has_flow_packets)
    {
        // That nobody on the way knows a flow is no proof that nobody has it:
        // its owner may be cut off from those who asked. The caller's own
        // deadline ends it.
        if (told.reason != refusal_reason::unknown_flow)
        {
            m_delivery.reset(flow, true);
        }
        return;
    }
    send_datagram(to, to_notice(flow, told));
}

template <class Delivery>
void agent_loop<Delivery>::reset_upstream(const flow_key& flow,
                                          refusal_reason /*reason*/)
{
    // A UDP upstream has no reset; its socket closes, which tells it at its
    // next answer.
    m_delivery.close(flow);
}

template <class Delivery>
void agent_loop<Delivery>::close(const flow_key& flow)
{
    m_delivery.close(flow);
}

template <class Delivery>
void agent_loop<Delivery>::send(const endpoint& to, const peer_message& message)
{
    const std::string text = encode_peer_message(message);
    send_datagram(to, peer_datagram{std::span(
                          reinterpret_cast<const std::uint8_t*>(text.data()),
                          text.size())});
}

template <class Delivery>
void agent_loop<Delivery>::announce(const upstream_record& record)
{
    m_wanted[record.id] = record;
    m_exchange.wanted.publish(
        std::make_shared<const std::map<upstream_id, upstream_record>>(
            m_wanted));
    const std::shared_ptr<const wake_event> control =
        m_exchange.to_control.read();
    if (control != nullptr)
    {
        control->signal();
    }
}

template <class Delivery>
void agent_loop<Delivery>::decide(const flow_decision& decision)
{
    if (m_log.enabled(level_of(decision.action)) && m_limit.allows(m_now))
    {
        m_log.write(to_log_line(m_self, decision));
    }
}

template <class Delivery>
template <class Value>
void agent_loop<Delivery>::send_datagram(const endpoint& to, const Value& value)
{
    if (m_to_send.full())
    {
        flush();
    }
    const std::size_t size = m_codec.encode(value, m_to_send.next());
    if (size == 0)
    {
        ++m_unsent;
        return;
    }
    m_to_send.commit(size, to);
}

template <class Delivery>
void agent_loop<Delivery>::flush()
{
    if (m_to_send.size() > 0)
    {
        m_unsent += m_tunnel.send(m_to_send).dropped;
    }
    if constexpr (has_flow_packets)
    {
        m_unsent += m_delivery.flush();
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_status()
{
    const auto next = m_exchange.upstream.read();
    if (next == nullptr || next == m_upstream)
    {
        return;
    }
    follow(*next);
    m_upstream = next;
}

template <class Delivery>
void agent_loop<Delivery>::follow(const life_status& next)
{
    m_log.write(log_line(log_level::info, "upstream_announced")
                    .field("upstream", next.id.value())
                    .field("returns", next.returns)
                    .field("lived_on", next.lived_on)
                    .field("leaves", next.leaves)
                    .field("gone", next.is_gone));
    const bool is_new = m_upstream == nullptr || m_upstream->id != next.id ||
                        m_upstream->returns != next.returns;
    if (is_new)
    {
        // Whatever was open at the life before is lost with it.
        handle(upstream_failed{});
        start_core(next);
    }
    if (next.leaves)
    {
        handle(leave_requested{});
    }
    if (next.is_gone)
    {
        handle(upstream_failed{});
    }
}

template <class Delivery>
void agent_loop<Delivery>::start_core(const life_status& next)
{
    const auto known = m_wanted.find(next.id);
    const std::uint64_t before =
        known == m_wanted.end() ? 0 : known->second.sequence;
    while (m_wanted.size() >= records_kept)
    {
        m_wanted.erase(m_wanted.begin());
    }
    m_self.id = next.id;
    // The id is new with each life, so that a life has one incarnation; the
    // clock makes the sequence rise over restarts of this process.
    m_self.started = incarnation(1);
    m_self.sequence = std::max(before + 1, wall_clock_ms());
    m_settings.self = m_self;
    m_settings.slots = next.slots;
    m_core.emplace(m_settings, m_now);
    if (next.lived_on)
    {
        handle(upstream_lived_on{});
    }
    if (m_view != nullptr)
    {
        handle(view_changed{m_view});
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_packet(const upstream_packet& packet)
{
    if constexpr (has_flow_packets)
    {
        if (packet.is_returned)
        {
            take_returned(packet);
            return;
        }
        // Always: what the upstream says is for the caller, whoever else has
        // forgotten the flow.
        m_delivery.answer(packet.flow, packet.payload);
        handle(upstream_answered{packet.flow, packet.payload, packet.finishes});
        if (packet.resets)
        {
            handle(upstream_closed{packet.flow});
        }
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_returned(const upstream_packet& packet)
{
    if (packet.delivered_with)
    {
        handle(packet_returned{*packet.delivered_with, packet.payload});
    }
}

template <class Delivery>
void agent_loop<Delivery>::take_work()
{
    if constexpr (has_flow_packets)
    {
        if (m_delivery.is_refused(m_now))
        {
            m_log.write(log_line(log_level::warning, "upstream_refuses")
                            .field("upstream", m_self.id.value()));
            m_exchange.upstream_refuses = true;
            handle(upstream_failed{});
        }
        for (const passing_request& each : m_delivery.take_requests())
        {
            if (m_log.enabled(log_level::info) && m_limit.allows(m_now))
            {
                m_log.write(to_log_line(m_self, each));
            }
        }
        const work_change done = m_delivery.take_work(m_now);
        for (std::uint32_t i = 0; i < done.started; ++i)
        {
            handle(work_started{1});
        }
        for (std::uint32_t i = 0; i < done.completed; ++i)
        {
            handle(work_ended{1, true});
        }
        for (std::uint32_t i = 0; i < done.given_up; ++i)
        {
            handle(work_ended{1, false});
        }
    }
}

template <class Delivery>
void agent_loop<Delivery>::publish_report()
{
    m_next_report = m_now + report_interval;
    const std::uint64_t omitted = m_limit.take_omitted();
    if (omitted > 0)
    {
        m_log.write(log_line(log_level::info, "decisions_omitted")
                        .field("upstream", m_self.id.value())
                        .field("lines", omitted));
    }
    agent_totals totals;
    if (m_core)
    {
        totals.flows = m_core->flows();
        totals.redirects = m_core->redirects();
        totals.load = m_core->load();
        totals.counts = m_core->counts();
    }
    totals.undecodable = m_undecodable;
    totals.unsent = m_unsent + m_stage.unsent();
    totals.undelivered = m_undelivered;
    metrics report = to_metrics(m_self, totals);
    if constexpr (has_flow_packets)
    {
        m_delivery.answer_times().write_to(
            report, "crowlink_agent_answer_milliseconds",
            fmt::format("upstream=\"{}\"", m_self.id.value()));
    }
    m_gauges.report.publish(std::make_shared<const metrics>(std::move(report)));
}

template class agent_loop<datagram_delivery>;
template class agent_loop<ip_delivery>;
template class agent_loop<flow_delivery>;

static_assert(agent_effects<agent_loop<datagram_delivery>>,
              "the loop must carry out what the agent asks for");

} // namespace crowlink::internal
