#pragma once

// What an agent's core wants done, carried out by its loop. Included by
// agent_loop.cpp alone, which instantiates it.

#include "agent/agent_loop.hpp"
#include "agent/agent_report.hpp"
#include "agent/caller_notice.hpp"
#include "agent/peer_codec.hpp"
#include "crowlink/packet/tcp_reset.hpp"

#include <memory>

namespace crowlink::internal
{

template <class Delivery>
void agent_loop<Delivery>::deliver(const flow_key& flow, payload_view payload)
{
    if (m_stage.active())
    {
        m_stage.take_from_caller(m_now, flow, payload);
        return;
    }
    if constexpr (has_flow_packets)
    {
        // A held packet starts in another event than that of its arrival; its
        // header is needed if the upstream returns it.
        const packet_header* header =
            m_core ? m_core->released_header(flow) : nullptr;
        if (header != nullptr)
        {
            m_delivery.handling(header);
            m_undelivered += m_delivery.deliver(flow, payload) ? 0 : 1;
            m_delivery.handling(nullptr);
            return;
        }
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
        m_delivery.reset(flow, payload, false);
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
                                        payload_view payload,
                                        const flow_refusal& told)
{
    if constexpr (has_flow_packets)
    {
        m_delivery.reset(flow, payload, true);
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
    decision_limit& limit =
        decision.action == flow_action::reset ? m_reset_limit : m_limit;
    if (m_log.enabled(level_of(decision.action)) && limit.allows(m_now))
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

} // namespace crowlink::internal
