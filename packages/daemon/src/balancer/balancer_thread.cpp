#include "balancer/balancer_thread.hpp"

#include "crowlink/packet/datagram_port.hpp"
#include "crowlink/packet/ip_in_udp_port.hpp"
#include "crowlink/platform/flow_packet_port.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crowlink::internal
{

namespace
{

// Tokens of the poller; callers' sockets follow by their index.
constexpr poller::token stop_token = 0;
constexpr poller::token tunnel_token = 1;
constexpr poller::token first_caller_token = 2;
// Callers' packets wait in the kernel while a balancer starts, since each that
// is lost costs its caller the time until the next copy. Callers give up
// opening after 1.4 s; what is older would be in vain.
constexpr duration longest_start = std::chrono::milliseconds(1400);
constexpr std::chrono::milliseconds start_poll(10);

} // namespace

template <caller_port Port>
balancer_thread<Port>::balancer_thread(Port port,
                                       std::vector<udp_socket> callers,
                                       udp_socket tunnel, const key_ring& keys,
                                       const set_slot& sets, log_sink& log,
                                       const log_settings& logging,
                                       std::optional<double> link_mbps)
    : m_port(std::move(port))
    , m_callers(std::move(callers))
    , m_tunnel(std::move(tunnel))
    , m_path(keys, m_tunnel.local())
    , m_sets(sets)
    , m_log(log)
    , m_limit(logging.decisions_per_second)
    , m_notice_limit(logging.decisions_per_second)
    , m_buffer(datagram_batch::default_size)
{
    if (link_mbps)
    {
        m_egress.emplace(*link_mbps);
    }
    m_poller.add(m_stop.handle(), stop_token);
    m_poller.add(m_tunnel.handle(), tunnel_token);
    publish_report();
    m_thread = std::thread([this] { run(); });
}

template <caller_port Port>
balancer_thread<Port>::~balancer_thread()
{
    m_stopping = true;
    m_stop.signal();
    m_thread.join();
}

// Waits for the first tables, for a bounded time.
template <caller_port Port>
void balancer_thread<Port>::start_listening()
{
    const bool is_known = m_sets.read() != nullptr;
    if (!is_known && m_clock.now() - m_started < longest_start)
    {
        return;
    }
    for (std::size_t at = 0; at < m_callers.size(); ++at)
    {
        m_poller.add(m_callers[at].handle(), first_caller_token + at);
    }
    m_listens = true;
}

template <caller_port Port>
void balancer_thread<Port>::run()
{
    while (!m_stopping)
    {
        if (!m_listens)
        {
            start_listening();
        }
        const auto ready = m_poller.wait(longest_wait());
        m_now = m_clock.now();
        // What waits goes before what arrives now.
        send_due();
        for (const poller::token token : ready)
        {
            if (token == tunnel_token)
            {
                take_from_agents();
            }
            else if (token >= first_caller_token)
            {
                take_from_callers(m_callers[token - first_caller_token]);
            }
        }
        if (m_now >= m_next_report)
        {
            publish_report();
        }
    }
}

template <caller_port Port>
duration balancer_thread<Port>::longest_wait() const
{
    const duration longest =
        m_listens ? duration(report_interval) : duration(start_poll);
    if (!m_egress || m_egress->next_send() == time_point::max())
    {
        return longest;
    }
    const duration until = m_egress->next_send() - m_clock.now();
    return std::clamp(until, duration::zero(), longest);
}

template <caller_port Port>
void balancer_thread<Port>::take_from_callers(const udp_socket& socket)
{
    const std::shared_ptr<const forwarding_set> set = m_sets.read();
    const std::size_t count = socket.receive(m_received);
    if (set == nullptr)
    {
        return;
    }
    for (std::size_t at = 0; at < count; ++at)
    {
        route(*set, socket, at);
    }
    m_unsent += m_tunnel.send(m_to_agents).dropped;
}

template <caller_port Port>
void balancer_thread<Port>::route(const forwarding_set& set,
                                  const udp_socket& socket, std::size_t index)
{
    if (m_received.truncated(index))
    {
        ++m_truncated;
        return;
    }
    const auto packet = m_port.parse(received_datagram{
        m_received.peer(index), socket.local(), m_received.bytes(index)});
    if (!packet)
    {
        ++m_packet_drops[static_cast<std::size_t>(packet.error())];
        return;
    }
    const auto routed = m_path.route(set, *packet, m_to_agents.next());
    if (routed)
    {
        send_or_queue(*packet, *routed);
    }
    else
    {
        refuse_unopened(*packet);
    }
    log_route(set, packet->flow);
}

// The encoded packet is in the next buffer of the batch.
template <caller_port Port>
void balancer_thread<Port>::send_or_queue(const caller_packet& packet,
                                          const routed_packet& routed)
{
    egress_verdict verdict = egress_verdict::send_now;
    if (m_egress)
    {
        const bool may_be_refused = Port::refuses_by_flow &&
                                    packet.role == packet_role::opens &&
                                    !packet.is_repeated;
        verdict = m_egress->offer(
            m_now, egress_offer{routed.flow_hash, routed.terms, packet.role,
                                may_be_refused, packet.finishes, packet.payload,
                                routed.destination,
                                m_to_agents.next().first(routed.size)});
    }
    if (verdict == egress_verdict::send_now)
    {
        m_to_agents.commit(routed.size, routed.destination);
    }
    else if (verdict == egress_verdict::refused)
    {
        refuse_unopened(packet);
        log_early_refusal(packet.flow);
    }
}

template <caller_port Port>
void balancer_thread<Port>::send_due()
{
    if (!m_egress || m_egress->next_send() > m_now)
    {
        return;
    }
    while (const auto packet = m_egress->take(m_now))
    {
        std::copy(packet->bytes.begin(), packet->bytes.end(),
                  m_to_agents.next().begin());
        m_to_agents.commit(packet->bytes.size(), packet->destination);
        if (m_to_agents.full())
        {
            m_unsent += m_tunnel.send(m_to_agents).dropped;
        }
    }
    m_unsent += m_tunnel.send(m_to_agents).dropped;
}

// A connection that nothing can take is refused at once, where the port needs
// no more than the flow to say so: it has surely not run.
template <caller_port Port>
void balancer_thread<Port>::refuse_unopened(const caller_packet& packet)
{
    if constexpr (Port::refuses_by_flow)
    {
        if (packet.role == packet_role::opens)
        {
            send_to_caller(m_port.refuse(refusal{packet.flow, 0, 0}, m_buffer));
        }
    }
}

template <caller_port Port>
void balancer_thread<Port>::take_from_agents()
{
    const std::size_t count = m_tunnel.receive(m_received);
    for (std::size_t at = 0; at < count; ++at)
    {
        if (m_received.truncated(at))
        {
            ++m_truncated;
            continue;
        }
        const auto found = m_path.answer(m_received.bytes(at));
        if (found)
        {
            answer(*found);
        }
    }
}

template <caller_port Port>
void balancer_thread<Port>::answer(const caller_answer& value)
{
    if (const auto* whole = std::get_if<answer_datagram>(&value))
    {
        send_to_caller(m_port.answer(whole->flow, whole->payload, m_buffer));
        return;
    }
    const auto& notice = std::get<notice_datagram>(value);
    log_notice(notice);
    if (m_egress)
    {
        m_egress->note_ended(stable_hash(notice.flow));
    }
    send_to_caller(m_port.refuse(
        refusal{notice.flow, notice.sequence, notice.acknowledgement},
        m_buffer));
}

template <caller_port Port>
void balancer_thread<Port>::send_to_caller(
    const tl::expected<outgoing_datagram, packet_drop>& answer)
{
    if (!answer)
    {
        ++m_packet_drops[static_cast<std::size_t>(answer.error())];
        return;
    }
    for (const udp_socket& socket : m_callers)
    {
        if (socket.local() == answer->from)
        {
            m_unsent += socket.send(answer->bytes, answer->to) ? 0 : 1;
            return;
        }
    }
    // An answer of an address that this balancer does not listen on.
    ++m_packet_drops[static_cast<std::size_t>(packet_drop::foreign)];
}

template <caller_port Port>
void balancer_thread<Port>::log_route(const forwarding_set& set,
                                      const flow_key& flow)
{
    if (m_log.enabled(log_level::info) && m_limit.allows(m_now))
    {
        m_log.write(to_log_line(explain(set, flow)));
    }
}

template <caller_port Port>
void balancer_thread<Port>::log_early_refusal(const flow_key& flow)
{
    if (m_log.enabled(log_level::info) && m_notice_limit.allows(m_now))
    {
        m_log.write(log_line(log_level::info, "refused")
                        .field("flow", flow.to_string())
                        .field("verdict", to_string(verdict::not_run))
                        .field("reason", "link_full"));
    }
}

template <caller_port Port>
void balancer_thread<Port>::log_notice(const notice_datagram& notice)
{
    if (m_log.enabled(log_level::info) && m_notice_limit.allows(m_now))
    {
        m_log.write(log_line(log_level::info, "notice")
                        .field("flow", notice.flow.to_string())
                        .field("verdict", to_string(notice.outcome))
                        .field("reason", static_cast<int>(notice.reason)));
    }
}

template <caller_port Port>
void balancer_thread<Port>::publish_report()
{
    m_next_report = m_now + report_interval;
    const std::uint64_t omitted = m_limit.take_omitted();
    const std::uint64_t notices = m_notice_limit.take_omitted();
    if (omitted + notices > 0)
    {
        m_log.write(log_line(log_level::info, "decisions_omitted")
                        .field("role", "balancer")
                        .field("lines", omitted)
                        .field("notices", notices));
    }
    const auto next = std::make_shared<metrics>();
    add_to(*next, m_path.counts());
    if (m_egress)
    {
        add_to(*next, m_egress->counts());
    }
    for (std::size_t at = 0; at < m_packet_drops.size(); ++at)
    {
        const auto reason = static_cast<packet_drop>(at);
        next->count(fmt::format("crowlink_balancer_packets_dropped_total"
                                "{{reason=\"{}\"}}",
                                to_string(reason)),
                    m_packet_drops[at]);
    }
    next->count("crowlink_balancer_datagrams_unsent_total", m_unsent);
    next->count("crowlink_balancer_datagrams_truncated_total", m_truncated);
    m_report.publish(next);
}

template class balancer_thread<datagram_port>;
template class balancer_thread<ip_in_udp_port>;
template class balancer_thread<platform::flow_packet_port>;

} // namespace crowlink::internal
