#include "crowlink/agent/admission.hpp"

#include "crowlink/agent/load_units.hpp"

#include <algorithm>
#include <limits>

namespace crowlink::internal
{

namespace
{

constexpr std::uint32_t default_weight = 100;
// The least share of an upstream that is judged stalled and has no permission
// to shed.
constexpr std::uint32_t least_share_without_grant = full_share / 2;
constexpr duration trial_interval = std::chrono::seconds(1);
// When the goal is continuity, a head whose load exceeds the mean by up to this
// much keeps the flow.
constexpr std::uint32_t continuity_excess_percent = 10;
// Within this range the service times of equal upstreams under mixed load
// differ by chance. Relative times outside of it are bounded.
constexpr std::int64_t max_chance_below = 800;
constexpr std::int64_t max_chance_above = 1250;
constexpr std::int64_t least_relative_time = equal_time / 8;
constexpr std::int64_t greatest_relative_time = equal_time * 8;

std::uint64_t millionths(std::uint64_t used, std::uint64_t limit)
{
    return used * full_share / std::max<std::uint64_t>(limit, 1);
}

} // namespace

void admission::declare(const service& declared, std::uint32_t weight)
{
    m_limits = declared.limits;
    if (m_announced_slots > 0)
    {
        m_limits.slots = m_announced_slots;
    }
    m_service_time.set_slots(m_limits.slots);
    m_has_terms = std::any_of(declared.shares.begin(), declared.shares.end(),
                              [](const address_share& share)
                              { return share.terms.has_value(); });
    m_cold.set_limit(declared.limits.cold_flows_per_second);
    m_sharing = declared.sharing;
    m_weight = std::max(weight, 1U);
}

void admission::set_announced_slots(std::uint32_t slots)
{
    if (slots > 0)
    {
        m_announced_slots = slots;
        m_limits.slots = slots;
        m_service_time.set_slots(slots);
    }
}

void admission::ended(time_point now, std::uint32_t weight, bool completed)
{
    m_work -= std::min<std::uint64_t>(m_work, weight);
    if (completed)
    {
        m_progress.progressed(now);
    }
}

void admission::assess(time_point now)
{
    m_now = now;
    m_progress.assess(now, m_work > 0, m_sharing.cold_start);
    m_relative_time = assess_relative_time(now);
}

void admission::note_requests(time_point now, std::uint64_t running,
                              std::uint32_t completed)
{
    for (std::uint32_t i = 0; i < completed; ++i)
    {
        m_service_time.note_completed(now);
    }
    m_service_time.note_running(now, running);
    const std::uint64_t known = running + completed;
    for (std::uint64_t arrived = m_requests; arrived < known; ++arrived)
    {
        m_recent_openings.request_came();
    }
    m_requests = running;
}

std::uint32_t admission::assess_relative_time(time_point now) const
{
    const auto own = m_service_time.mean(now);
    const auto peers = m_peers.mean_service_time(now);
    if (!m_has_terms || !own || !peers)
    {
        return equal_time;
    }
    const std::int64_t relative =
        *own * equal_time / std::max(*peers, duration(1));
    if (relative >= max_chance_below && relative <= max_chance_above)
    {
        return equal_time;
    }
    return static_cast<std::uint32_t>(
        std::clamp(relative, least_relative_time, greatest_relative_time));
}

std::uint32_t admission::load(std::size_t flows) const
{
    const std::uint64_t used =
        std::max({millionths(flows, m_limits.connections), work_load(),
                  std::uint64_t{m_cold.used(m_now)}});
    const std::uint64_t capacity =
        static_cast<std::uint64_t>(m_weight) * share(m_now) / default_weight;
    const std::uint64_t load = millionths(used, capacity);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        load, std::numeric_limits<std::uint32_t>::max()));
}

// The expected completion of one more request, less that at an idle upstream of
// the mean speed. An idle slow upstream thus counts as loaded, and with equal
// service times the load is the work per slot.
std::uint64_t admission::work_load() const
{
    const std::uint64_t completion = (m_work + m_held + 1) * m_relative_time;
    const std::uint64_t excess =
        completion - std::min<std::uint64_t>(completion, equal_time);
    const std::uint64_t slots = std::max(m_limits.slots, 1U);
    return millionths(excess, slots * equal_time);
}

std::uint32_t admission::share(time_point now) const
{
    const std::uint32_t judged = std::max(m_progress.share(), 1U);
    if (now < m_shed_until || !m_progress.wants_to_shed())
    {
        return judged;
    }
    return std::max(judged, least_share_without_grant);
}

bool admission::is_shedding(time_point now) const
{
    return m_progress.wants_to_shed() && now < m_shed_until;
}

bool admission::is_full_of_work() const
{
    return m_work_per_slot > 0 &&
           m_work >= std::uint64_t{m_work_per_slot} * m_limits.slots;
}

bool admission::has_room_soon(time_point now) const
{
    // Callers retransmit after 200 ms, and again 400 ms later.
    constexpr duration next_copy = std::chrono::milliseconds(400);
    const bool is_full = is_full_of_work() || !m_cold.allows(now);
    return is_full && m_cold.allows_within(now, next_copy);
}

bool admission::can_admit(time_point now, std::size_t flows) const
{
    if (m_draining || flows >= m_limits.connections || is_full_of_work() ||
        !m_cold.allows(now))
    {
        return false;
    }
    return !is_shedding(now) || now >= m_next_trial;
}

bool admission::takes_new_flows(time_point now) const
{
    return !m_draining && (!is_shedding(now) || now >= m_next_trial);
}

std::uint64_t admission::running(time_point now) const
{
    return m_requests + m_recent_openings.count(now);
}

bool admission::has_window(time_point now, std::size_t flows)
{
    const std::uint32_t per_slot =
        service_time(now)
            ? std::min(completion_estimate::window_per_slot, m_work_per_slot)
            : m_work_per_slot;
    return flows < m_limits.connections && !is_full_of_work() &&
           m_cold.allows(now) &&
           running(now) < std::uint64_t{per_slot} * m_limits.slots;
}

bool admission::has_work_room(time_point now) const
{
    return !is_full_of_work() &&
           running(now) < std::uint64_t{m_work_per_slot} * m_limits.slots;
}

bool admission::has_free_slot(time_point now)
{
    return running(now) < m_limits.slots;
}

completion_estimate admission::completion(time_point now)
{
    return completion_estimate(now, m_cold, running(now), m_limits.slots,
                               service_time(now).value_or(duration::zero()));
}

bool admission::wants_trial(time_point now) const
{
    return is_shedding(now) && now >= m_next_trial;
}

bool admission::admits_at_once(time_point now, std::size_t flows) const
{
    const auto mean = m_peers.mean(now);
    const std::uint64_t own = load(flows);
    if (m_sharing.goal == service_goal::balance)
    {
        return mean && own <= *mean;
    }
    if (!mean)
    {
        return true;
    }
    return own * 100 <= static_cast<std::uint64_t>(*mean) *
                            (100 + continuity_excess_percent);
}

void admission::admitted(time_point now)
{
    m_cold.admitted(now);
    if (is_shedding(now))
    {
        m_next_trial = now + trial_interval;
    }
}

} // namespace crowlink::internal
