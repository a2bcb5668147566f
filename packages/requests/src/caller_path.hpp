#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/ticket.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace crowlink::internal
{

// One flow of a caller: its ticket and the sequences under it.
class caller_path
{
public:
    // The tries are those of the path that this one replaces.
    explicit caller_path(std::uint32_t openings_sent = 0)
        : m_openings_sent(openings_sent)
    {
    }

    const std::optional<ticket>& granted() const { return m_ticket; }
    bool opening() const { return m_opening; }
    std::uint32_t openings_sent() const { return m_openings_sent; }
    std::uint64_t secret() const { return m_secret; }
    time_point refused_until() const { return m_refused_until; }

    // Starts an exchange for a ticket. The secret is kept while there is a
    // ticket to be confirmed, else `drawn` is the new one.
    void begin_opening(std::uint64_t new_secret);
    void count_opening() { ++m_openings_sent; }
    void end_opening() { m_opening = false; }

    // An attempt went unanswered: unless something was heard since it was sent,
    // the path is to be confirmed before it is used again.
    void require_confirmation(time_point sent);
    bool confirmation_required() const { return m_confirmation_required; }

    // A ticket was granted: the one before, or another if the path now leads
    // to another agent.
    void grant(time_point now, const ticket& fresh);
    void refuse_until(time_point until) { m_refused_until = until; }

    // The agent no longer honours this ticket.
    void invalidate(const ticket& stale);

    // The agent answered under this ticket.
    void confirm(time_point now, const ticket& session_ticket);

    // Whether a request may be sent; one that runs at most once needs a ticket
    // that was confirmed after `confirmed_since`.
    bool usable(std::optional<time_point> confirmed_since) const;

    // Whether an exchange for a ticket is needed before that.
    bool needs_opening(std::optional<time_point> confirmed_since) const;

    std::uint64_t take_sequence();
    void settle(std::uint64_t sequence);
    std::uint64_t settled_below() const;
    bool settled() const { return m_unsettled.empty(); }

private:
    std::optional<ticket> m_ticket;
    std::uint64_t m_secret = 0;
    bool m_opening = false;
    bool m_confirmation_required = false;
    // Openings that were sent since a ticket was granted.
    std::uint32_t m_openings_sent = 0;
    time_point m_last_confirmed{};
    time_point m_refused_until{};
    // Never starts anew: a path may come back to an agent that remembers its
    // secret and earlier sequences.
    std::uint64_t m_next_sequence = 1;
    std::set<std::uint64_t> m_unsettled;
};

} // namespace crowlink::internal
