#include "caller_path.hpp"

#include "crowlink/requests/at_most_once.hpp"

namespace crowlink::internal
{

void caller_path::begin_opening(std::uint64_t new_secret)
{
    if (!m_ticket)
    {
        m_secret = new_secret;
    }
    m_opening = true;
    ++m_openings_sent;
}

void caller_path::grant(time_point now, const ticket& fresh)
{
    m_opening = false;
    m_confirmation_required = false;
    m_openings_sent = 0;
    m_last_confirmed = now;
    m_refused_until = {};
    m_ticket = fresh;
}

void caller_path::invalidate(const ticket& stale)
{
    if (m_ticket == stale)
    {
        m_ticket.reset();
    }
}

void caller_path::confirm(time_point now, const ticket& session_ticket)
{
    if (m_ticket == session_ticket)
    {
        m_last_confirmed = now;
        m_confirmation_required = false;
    }
}

void caller_path::require_confirmation(time_point sent)
{
    if (m_last_confirmed <= sent)
    {
        m_confirmation_required = true;
    }
}

bool caller_path::usable(std::optional<time_point> confirmed_since) const
{
    return !needs_opening(confirmed_since) &&
           m_next_sequence - settled_below() < sequence_window;
}

bool caller_path::needs_opening(std::optional<time_point> confirmed_since) const
{
    return !m_ticket || m_confirmation_required ||
           (confirmed_since && m_last_confirmed < *confirmed_since);
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
