#include "agent/agent_loop.hpp"
#include "agent/agent_report.hpp"
#include "crowlink/model/unreported_start.hpp"
#include "process/process_identity.hpp"

#include <algorithm>

// What an agent's loop does for an upstream that announces itself and speaks
// whole packets of connections.

namespace crowlink::internal
{

namespace
{

// As many upstreams in a row as may still have to be announced as gone.
constexpr std::size_t records_kept = 16;

incarnation incarnation_of(const tracked_upstream& life)
{
    return life.started.value_or(incarnation(unreported_start));
}

// Whether the upstream beside this agent holds nothing of before.
bool is_another_life(const tracked_upstream* before,
                     const tracked_upstream& next)
{
    if (before == nullptr || before->id != next.id ||
        before->returns != next.returns)
    {
        return true;
    }
    return before->started && before->started != next.started;
}

} // namespace

template <>
void agent_loop<flow_delivery>::take_status()
{
    const auto next = m_exchange.upstream.read();
    if (next == nullptr || next == m_upstream)
    {
        return;
    }
    follow(*next);
    m_upstream = next;
}

template <>
void agent_loop<flow_delivery>::follow(const tracked_upstream& next)
{
    m_log.write(log_line(log_level::info, "upstream_announced")
                    .field("upstream", next.id.value())
                    .field("started", incarnation_of(next).value())
                    .field("returns", next.returns)
                    .field("lived_on", next.was_running)
                    .field("first_heard", next.first_heard)
                    .field("young", next.has_just_started())
                    .field("leaves", next.leaves)
                    .field("gone", next.is_gone)
                    .field("cold", next.cold_until > m_now));
    if (is_another_life(m_upstream.get(), next))
    {
        // Whatever was open at the life before is lost with it.
        handle(upstream_failed{});
        start_core(next);
    }
    else if (m_upstream->started != next.started)
    {
        // Found by this agent at its own start, which tells no time. Only the
        // upstream's word gives the name that peers know it by.
        start_core(next);
    }
    else if (m_upstream->has_just_started() != next.has_just_started())
    {
        handle(upstream_survived{next.has_just_started()});
    }
    const bool is_first = m_upstream == nullptr;
    const bool is_silent_yet =
        !next.started && next.first_heard == 0 && next.returns == 0;
    handle(upstream_start_reported{next.cold_until,
                                   is_first && next.was_running, is_silent_yet,
                                   next.slots});
    if (next.leaves)
    {
        handle(leave_requested{});
    }
    if (next.is_gone)
    {
        handle(upstream_failed{});
    }
}

template <>
void agent_loop<flow_delivery>::start_core(const tracked_upstream& next)
{
    const auto known = m_wanted.find(next.id);
    const std::uint64_t before =
        known == m_wanted.end() ? 0 : known->second.sequence;
    while (m_wanted.size() >= records_kept)
    {
        m_wanted.erase(m_wanted.begin());
    }
    m_self.id = next.id;
    // The clock makes the sequence rise over restarts of this process.
    m_self.started = incarnation_of(next);
    m_self.sequence = std::max(before + 1, wall_clock_ms());
    m_settings.self = m_self;
    m_settings.slots = next.slots;
    m_core.emplace(m_settings, m_now);
    if (m_left)
    {
        // The process stops: its successor must find the record draining, not
        // ready, which would attract new flows to a closed port.
        handle(leave_requested{});
    }
    if (next.was_running)
    {
        handle(upstream_survived{next.has_just_started()});
    }
    if (m_view != nullptr)
    {
        handle(view_changed{m_view});
    }
}

template <>
void agent_loop<flow_delivery>::take_packet(const upstream_packet& packet)
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

template <>
void agent_loop<flow_delivery>::take_returned(const upstream_packet& packet)
{
    if (packet.delivered_with)
    {
        m_delivery.handling(&*packet.delivered_with);
        handle(packet_returned{*packet.delivered_with, packet.payload});
        m_delivery.handling(nullptr);
    }
}

template <>
void agent_loop<flow_delivery>::take_work()
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
    // First, since the end of work starts what is held, by these counts.
    handle(requests_counted{done.running, done.requests_completed});
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

} // namespace crowlink::internal
