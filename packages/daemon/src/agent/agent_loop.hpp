#pragma once

#include "agent/agent_thread.hpp"
#include "agent/datagram_delivery.hpp"
#include "agent/flow_delivery.hpp"
#include "agent/ip_delivery.hpp"
#include "agent/request_stage.hpp"
#include "crowlink/agent/agent.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/wire/datagram_codec.hpp"
#include "shared/decision_limit.hpp"
#include "shared/pause_monitor.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace crowlink::internal
{

// The sockets of an agent's loop: towards balancers and other agents, and
// towards the upstream.
struct loop_sockets
{
    udp_socket tunnel;
    udp_socket delivery;
};

// Carries out the effects of one agent, and feeds it what arrives. Belongs to
// the agent's thread. `Delivery` is datagram_delivery, ip_delivery
// or flow_delivery.
template <class Delivery>
class agent_loop
{
public:
    agent_loop(const agent_settings& core, const agent_role_settings& own,
               loop_sockets sockets, const key_ring& keys,
               agent_exchange& exchange, agent_gauges& gauges, log_sink& log,
               const log_settings& logging);

    // Runs until the gauges say to stop.
    void run();

    // The effects of the agent; see agent_effects.
    void deliver(const flow_key& flow, payload_view payload);
    void forward(const endpoint& to, const packet_header& header,
                 payload_view payload);
    void answer(const endpoint& to, const flow_key& flow, payload_view payload);
    void refuse(const endpoint& to, const flow_key& flow, payload_view payload,
                const flow_refusal& told);
    void reset_caller(const endpoint& to, const flow_key& flow,
                      payload_view payload, const flow_refusal& told);
    void reset_upstream(const flow_key& flow, refusal_reason reason);
    void close(const flow_key& flow);
    void send(const endpoint& to, const peer_message& message);
    void announce(const upstream_record& record);
    void decide(const flow_decision& decision);

private:
    // Whether the delivery reads and writes whole packets of connections, and
    // reaches callers by itself.
    static constexpr bool has_flow_packets =
        std::is_same_v<Delivery, flow_delivery>;

    // Nothing can be handled before the upstream has announced itself.
    template <class Event>
    void handle(const Event& event)
    {
        if (m_core)
        {
            m_core->handle(m_now, event, *this);
        }
    }

    void take_status();
    void follow(const tracked_upstream& next);
    void start_core(const tracked_upstream& next);
    void take_returned(const upstream_packet& packet);
    void take_packet(const upstream_packet& packet);
    void take_work();

    void take_from_control();
    void take_from_tunnel();
    void take(const endpoint& from, const datagram& value);
    void hand_on(const forward_datagram& packet);
    void take_from_upstream(poller::token token);
    void take_plain(poller::token token);
    void take_stage_output();
    void advance();
    template <class Value>
    void send_datagram(const endpoint& to, const Value& value);
    void flush();
    void publish_report();

    agent_settings m_settings;
    // Empty until an upstream that announces itself has done so.
    std::optional<agent> m_core;
    upstream_record m_self;
    udp_socket m_tunnel;
    datagram_codec m_codec;
    agent_exchange& m_exchange;
    agent_gauges& m_gauges;
    log_sink& m_log;
    pause_monitor m_pauses;
    decision_limit m_limit;
    // Of resets, which the decisions of a busy second must not displace.
    decision_limit m_reset_limit;
    poller m_poller;
    Delivery m_delivery;
    request_stage m_stage;
    datagram_batch m_received;
    datagram_batch m_to_send;
    std::shared_ptr<const service_view> m_view;
    std::shared_ptr<const tracked_upstream> m_upstream;
    // What is to be announced of this upstream and of those before it.
    std::map<upstream_id, upstream_record> m_wanted;
    bool m_left = false;
    steady_clock_source m_clock;
    time_point m_now{};
    time_point m_next_tick{};
    time_point m_next_report{};
    std::uint64_t m_undecodable = 0;
    // Opening packets that came before the upstream was known.
    std::uint64_t m_handed_on = 0;
    std::uint64_t m_unsent = 0;
    std::uint64_t m_undelivered = 0;
};

// In agent_loop_upstream.cpp; called for flow packets only.
template <>
void agent_loop<flow_delivery>::take_status();
template <>
void agent_loop<flow_delivery>::follow(const tracked_upstream& next);
template <>
void agent_loop<flow_delivery>::start_core(const tracked_upstream& next);
template <>
void agent_loop<flow_delivery>::take_packet(const upstream_packet& packet);
template <>
void agent_loop<flow_delivery>::take_returned(const upstream_packet& packet);
template <>
void agent_loop<flow_delivery>::take_work();

} // namespace crowlink::internal
