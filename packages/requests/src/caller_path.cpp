#include "caller_path.hpp"

#include "crowlink/requests/at_most_once.hpp"

namespace crowlink::internal
{

void caller_path::begin_opening(std::uint64_t drawn)
{
    if (!m_ticket)
    {
        m_secret = drawn;
    }
    m_opening = true;
    ++m_tries;
}

void caller_path::grant(time_point now, const ticket& fresh)
{
    m_opening = false;
    m_doubted = false;
    m_tries = 0;
    m_heard = now;
    m_refused_until = {};
    m_ticket = fresh;
}

void caller_path::drop(const ticket& stale)
{
    if (m_ticket == stale)
    {
        m_ticket.reset();
    }
}

void caller_path::hear(time_point now, const ticket& under)
{
    if (m_ticket == under)
    {
        m_heard = now;
        m_doubted = false;
    }
}

void caller_path::doubt(time_point sent)
{
    if (m_heard <= sent)
    {
        m_doubted = true;
    }
}

bool caller_path::usable(std::optional<time_point> confirmed_since) const
{
    return !needs_opening(confirmed_since) &&
           m_next_sequence - settled_below() < sequence_window;
}

bool caller_path::needs_opening(std::optional<time_point> confirmed_since) const
{
    return !m_ticket || m_doubted ||
           (confirmed_since && m_heard < *confirmed_since);
}

std::uint64_t caller_path::take_sequence()
{
    m_unsettled.insert(m_next_sequence);
    return m_next_sequence++;
}

void caller_path::settle(std::uint64_t sequence)
{
    m_unsettled.erase(sequence);
}

std::uint64_t caller_path::settled_below() const
{
    return m_unsettled.empty() ? m_next_sequence : *m_unsettled.begin();
}

} // namespace crowlink::internal
