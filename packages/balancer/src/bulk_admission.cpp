#include "crowlink/balancer/bulk_admission.hpp"

#include <algorithm>
#include <iterator>

namespace crowlink
{

namespace
{

// Callers send again after 1.6 s at most.
constexpr duration idle_time = std::chrono::milliseconds(1700);
// Data follows an accepted opening after one round trip. Agents refuse openings
// straight to the caller, which is not seen here: counted longer, those would
// keep the link busy that is free.
constexpr duration opening_time = std::chrono::milliseconds(300);
// Longer than the pause before a first retransmission, 200 ms.
constexpr duration longest_pause = std::chrono::milliseconds(300);
// Between two sends of a flow that has more to send; it gets its turn within
// this as long as fewer than 20 flows share 5 Mbit/s.
constexpr duration short_pause = std::chrono::milliseconds(50);
// A flow that has sent this part of the mean has probably sent all.
constexpr double nearly_all = 0.9;
// Leaves a tenth of the aim to the handshake, the work and the answer.
constexpr double sending_part = 0.9;
// The mean covers about so many flows.
constexpr std::uint32_t most_weight = 16;
// One huge flow must not make all others look huge.
constexpr double most_growth = 4.0;

} // namespace

bool bulk_admission::is_full(time_point now, duration aim,
                             double bytes_per_second)
{
    close_idle(now);
    if (aim <= duration::zero())
    {
        // Nothing can be in time on a route without an aim, and a late answer
        // still has its value.
        return false;
    }
    const auto active = static_cast<double>(active_flows(now));
    const double seconds = std::chrono::duration<double>(aim).count();
    return active > 0.0 &&
           (active + 1.0) * m_mean > bytes_per_second * seconds * sending_part;
}

void bulk_admission::open(time_point now, std::uint64_t flow)
{
    if (m_flows.count(flow) == 0)
    {
        add(flow_state{flow, now, 0.0, true, false});
    }
}

void bulk_admission::note_sent(time_point now, std::uint64_t flow,
                               std::size_t size)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
    {
        add(flow_state{flow, now, static_cast<double>(size), false, false});
        return;
    }
    found->second->sent += static_cast<double>(size);
    found->second->last = now;
    m_by_activity.splice(m_by_activity.end(), m_by_activity, found->second);
}

void bulk_admission::note_finished(std::uint64_t flow)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end() && !found->second->is_finished)
    {
        note_size(*found->second);
        // Kept until it is idle, so that a repeated last packet does not make
        // it active again.
        found->second->is_finished = true;
    }
}

void bulk_admission::note_aborted(std::uint64_t flow)
{
    const auto found = m_flows.find(flow);
    if (found != m_flows.end())
    {
        remove(found->second);
    }
}

std::size_t bulk_admission::active_flows(time_point now) const
{
    std::size_t active = 0;
    for (const flow_state& state : m_by_activity)
    {
        active += is_active(state, now) ? 1 : 0;
    }
    return active;
}

bool bulk_admission::is_active(const flow_state& state, time_point now) const
{
    if (state.is_finished)
    {
        return false;
    }
    if (state.sent <= 0.0)
    {
        return now - state.last < opening_time;
    }
    const bool has_more = state.sent < m_mean * nearly_all;
    return now - state.last < (has_more ? longest_pause : short_pause);
}

void bulk_admission::add(const flow_state& state)
{
    if (m_flows.size() >= max_flows)
    {
        remove(m_by_activity.begin());
    }
    m_by_activity.push_back(state);
    m_flows.emplace(state.flow, std::prev(m_by_activity.end()));
}

void bulk_admission::close_idle(time_point now)
{
    while (!m_by_activity.empty() &&
           now - m_by_activity.front().last > idle_time)
    {
        const flow_state& idle = m_by_activity.front();
        if (!idle.is_finished)
        {
            note_size(idle);
        }
        remove(m_by_activity.begin());
    }
}

void bulk_admission::remove(state_list::iterator state)
{
    m_flows.erase(state->flow);
    m_by_activity.erase(state);
}

void bulk_admission::note_size(const flow_state& state)
{
    // A flow that sent nothing but its opening was not served.
    if (!state.is_whole || state.sent <= 0.0)
    {
        return;
    }
    m_ended = std::min(m_ended + 1, most_weight);
    const double bounded = std::min(state.sent, m_mean * most_growth);
    m_mean += (bounded - m_mean) / m_ended;
}

} // namespace crowlink
