#include "crowlink/agent/upstream_life.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

// More lives than an upstream has in the time that a message may be late.
constexpr std::size_t ended_kept = 64;
// The first announcement of a life, counted from 0 or from 1.
constexpr std::uint64_t first_sequence = 1;

} // namespace

result<void> upstream_life::announce(time_point now,
                                     const upstream_announcement& announced)
{
    if (has_ended(announced.id))
    {
        return fail(error_kind::conflict, announced.id.value(),
                    "this life of the upstream has ended");
    }
    const bool is_new = !m_status || m_status->id != announced.id;
    if (is_new && m_status)
    {
        end(m_status->id);
    }
    if (is_new)
    {
        m_status =
            life_status{announced.id,     0,
                        announced.slots,  announced.sequence > first_sequence,
                        announced.leaves, false};
        m_sequence = announced.sequence;
        m_heard = now;
        return {};
    }
    m_heard = now;
    if (m_status->is_gone)
    {
        m_status->is_gone = false;
        m_status->lived_on = true;
        ++m_status->returns;
    }
    if (announced.sequence > m_sequence)
    {
        m_sequence = announced.sequence;
        m_status->leaves = announced.leaves;
    }
    return {};
}

void upstream_life::found(time_point now, const upstream_id& id, bool leaves)
{
    if (m_status || has_ended(id))
    {
        return;
    }
    m_status = life_status{id, 0, 0, true, leaves, false};
    m_sequence = 0;
    m_heard = now;
}

void upstream_life::refused()
{
    if (m_status)
    {
        m_status->is_gone = true;
    }
}

void upstream_life::withdraw(time_point now, const upstream_id& id)
{
    if (!m_status || m_status->id != id)
    {
        return;
    }
    m_heard = now;
    m_status->is_gone = true;
    end(id);
}

void upstream_life::tick(time_point now)
{
    if (m_status && now - m_heard >= m_patience)
    {
        m_status->is_gone = true;
    }
}

bool upstream_life::has_ended(const upstream_id& id) const
{
    return std::find(m_ended.begin(), m_ended.end(), id) != m_ended.end();
}

void upstream_life::end(const upstream_id& id)
{
    if (m_ended.size() == ended_kept)
    {
        m_ended.pop_front();
    }
    m_ended.push_back(id);
}

} // namespace crowlink
