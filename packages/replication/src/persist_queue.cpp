#include "persist_queue.hpp"

#include <algorithm>

namespace crowlink::replication::internal
{

persist_queue::persist_queue(const hard_state& state, log_index last_index)
    : m_in_flight_state(state)
    , m_durable_index(last_index)
    , m_durable_state(state)
{
    m_next.state = state;
}

void persist_queue::set_state(const hard_state& state)
{
    m_next.state = state;
    m_dirty = true;
}

void persist_queue::add_entry(const log_entry& entry)
{
    // Earlier entries from this index on are no longer part of the log, even if
    // the storage reports them as durable later.
    m_durable_index = std::min(m_durable_index, entry.index - 1);
    if (m_in_flight_index)
    {
        m_in_flight_index = std::min(*m_in_flight_index, entry.index - 1);
    }
    while (!m_next.entries.empty() &&
           m_next.entries.back().index >= entry.index)
    {
        m_next.entries.pop_back();
    }
    m_next.entries.push_back(entry);
    m_dirty = true;
}

void persist_queue::add_snapshot(const snapshot& taken, bool discard_log)
{
    m_next.new_snapshot = taken;
    if (discard_log)
    {
        m_next.discard_log = true;
        m_next.entries.clear();
        m_durable_index = 0;
        m_in_flight_index.reset();
    }
    m_dirty = true;
}

std::uint64_t persist_queue::last_sequence() const
{
    return m_dirty ? m_sequence + 1 : m_sequence;
}

void persist_queue::hold(replica_message message)
{
    m_held.push_back(held_message{last_sequence(), std::move(message)});
}

std::optional<persist_request> persist_queue::start_next(time_point now)
{
    if (!m_dirty || in_flight())
    {
        return std::nullopt;
    }
    m_dirty = false;
    m_started_at = now;
    ++m_sequence;
    persist_request request = std::move(m_next);
    request.sequence = m_sequence;
    m_next = persist_request{};
    m_next.state = request.state;
    m_in_flight_state = request.state;
    m_in_flight_index.reset();
    if (request.new_snapshot && request.discard_log)
    {
        m_in_flight_index = request.new_snapshot->index;
    }
    if (!request.entries.empty())
    {
        m_in_flight_index = request.entries.back().index;
    }
    return request;
}

std::vector<replica_message> persist_queue::complete(std::uint64_t sequence)
{
    std::vector<replica_message> released;
    if (!in_flight() || sequence != m_sequence)
    {
        return released;
    }
    m_done_sequence = sequence;
    m_durable_state = m_in_flight_state;
    if (m_in_flight_index)
    {
        m_durable_index = *m_in_flight_index;
        m_in_flight_index.reset();
    }
    while (!m_held.empty() && m_held.front().sequence <= sequence)
    {
        released.push_back(std::move(m_held.front().message));
        m_held.pop_front();
    }
    return released;
}

bool persist_queue::stalled(time_point now, duration limit) const
{
    return in_flight() && now - m_started_at >= limit;
}

} // namespace crowlink::replication::internal
