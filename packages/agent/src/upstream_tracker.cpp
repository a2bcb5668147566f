#include "crowlink/agent/upstream_tracker.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

// More incarnations than an upstream has while a message may be delayed.
constexpr std::size_t max_ended = 64;
// The first announcement of an incarnation, counted from 0 or from 1.
constexpr std::uint64_t first_sequence = 1;

} // namespace

result<void> upstream_tracker::announce(time_point now,
                                        const upstream_announcement& announced)
{
    if (auto checked = check_start(announced); !checked)
    {
        return checked;
    }
    m_last_heard = now;
    if (is_new_incarnation(announced))
    {
        begin(announced);
        m_status->cold_until = cold_until(now, announced);
        return {};
    }
    if (!m_status->started)
    {
        m_status->started = announced.started;
    }
    if (m_sequence == 0 && m_status->returns == 0)
    {
        m_status->first_heard = announced.sequence;
    }
    if (m_status->is_gone)
    {
        m_status->is_gone = false;
        m_status->was_running = true;
        m_status->first_heard = 0;
        ++m_status->returns;
    }
    if (announced.sequence > m_sequence)
    {
        m_sequence = announced.sequence;
        m_status->leaves = announced.leaves;
        m_status->slots = announced.slots;
        m_status->cold_until = cold_until(now, announced);
    }
    return {};
}

// A fixed value when the upstream is warm, so that its status does not change
// with each announcement.
time_point upstream_tracker::cold_until(time_point now,
                                        const upstream_announcement& announced)
{
    const bool is_cold = announced.warm_up_left > duration::zero();
    return is_cold ? now + announced.warm_up_left : time_point();
}

result<void>
upstream_tracker::check_start(const upstream_announcement& announced) const
{
    if (has_ended(announced))
    {
        return fail(error_kind::conflict, announced.id.value(),
                    "this incarnation of the upstream has ended");
    }
    const bool same_name = m_status && m_status->id == announced.id;
    if (same_name && m_status->started && !announced.started)
    {
        return fail(error_kind::invalid, announced.id.value(),
                    "must announce its start, as this incarnation did before");
    }
    if (same_name && m_status->started > announced.started)
    {
        return fail(error_kind::conflict, announced.id.value(),
                    "a later incarnation of the upstream has begun");
    }
    return {};
}

// A start that is announced for the first time belongs to the known
// incarnation: treating it as a new one would end flows that the upstream may
// hold.
bool upstream_tracker::is_new_incarnation(
    const upstream_announcement& announced) const
{
    if (!m_status || m_status->id != announced.id)
    {
        return true;
    }
    return m_status->started && m_status->started < announced.started;
}

void upstream_tracker::begin(const upstream_announcement& announced)
{
    end_current();
    m_sequence = announced.sequence;
    m_status = tracked_upstream{announced.id,
                                announced.started,
                                0,
                                announced.slots,
                                announced.sequence > first_sequence,
                                announced.leaves,
                                false,
                                announced.sequence,
                                time_point()};
}

void upstream_tracker::found(time_point now, const upstream_id& id, bool leaves)
{
    if (m_status)
    {
        return;
    }
    m_status = tracked_upstream{id,     std::nullopt, 0, 0,           true,
                                leaves, false,        0, time_point()};
    m_sequence = 0;
    m_last_heard = now;
}

void upstream_tracker::refused()
{
    if (m_status)
    {
        m_status->is_gone = true;
    }
}

void upstream_tracker::withdraw(time_point now, const upstream_withdrawal& told)
{
    const bool is_present = m_status && m_status->id == told.id;
    const bool is_another = is_present && told.started && m_status->started &&
                            told.started != m_status->started;
    if (!is_present || is_another)
    {
        return;
    }
    m_last_heard = now;
    m_status->is_gone = true;
    end_current();
}

void upstream_tracker::tick(time_point now)
{
    if (m_status && now - m_last_heard >= m_silence_timeout)
    {
        m_status->is_gone = true;
    }
}

// After an incarnation with a known start has ended, later incarnations of its
// name are allowed; after one without a known start, none of that name is.
bool upstream_tracker::has_ended(const upstream_announcement& announced) const
{
    return std::any_of(m_ended.begin(), m_ended.end(),
                       [&announced](const ended_incarnation& each)
                       {
                           return each.id == announced.id &&
                                  (!each.started ||
                                   announced.started <= each.started);
                       });
}

void upstream_tracker::end_current()
{
    if (!m_status)
    {
        return;
    }
    if (m_ended.size() == max_ended)
    {
        m_ended.pop_front();
    }
    m_ended.push_back(ended_incarnation{m_status->id, m_status->started});
}

} // namespace crowlink
