#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/ticket.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace crowlink::internal
{

// A flow of a caller, with its ticket and sequences.
class caller_path
{
public:
    // `openings_sent` continues the count of the path that this one replaces.
    explicit caller_path(std::uint32_t openings_sent = 0)
        : m_openings_sent(openings_sent)
    {
    }

    const std::optional<ticket>& granted() const { return m_ticket; }
    bool opening() const { return m_opening; }
    std::uint32_t openings_sent() const { return m_openings_sent; }
    std::uint64_t secret() const { return m_secret; }
    time_point refused_until() const { return m_refused_until; }

    // Starts an exchange for a ticket. Keeps the secret if there is a ticket to
    // be confirmed, else uses `new_secret`.
    void begin_opening(std::uint64_t new_secret);
    void count_opening() { ++m_openings_sent; }
    void end_opening() { m_opening = false; }

    // Called when an attempt went unanswered. Unless the path was confirmed
    // since the attempt was sent, it must be confirmed before its next use.
    void require_confirmation(time_point sent);
    bool confirmation_required() const { return m_confirmation_required; }

    // Stores a granted ticket: the previous one, or a new one if the path now
    // leads to another agent.
    void grant(time_point now, const ticket& fresh);
    void refuse_until(time_point until) { m_refused_until = until; }

    // Discards a ticket that the agent no longer accepts.
    void invalidate(const ticket& stale);

    // Records that the agent answered under this ticket.
    void confirm(time_point now, const ticket& session_ticket);

    // Whether a request may be sent. If `confirmed_since` is given, the ticket
    // must have been confirmed at that time or later.
    bool usable(std::optional<time_point> confirmed_since) const;

    // Whether an exchange for a ticket is needed before a request is sent.
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
    // Number of openings sent since a ticket was last granted.
    std::uint32_t m_openings_sent = 0;
    time_point m_last_confirmed{};
    time_point m_refused_until{};
    // Never reset: the path may lead again to an agent that still knows its
    // secret and earlier sequences.
    std::uint64_t m_next_sequence = 1;
    std::set<std::uint64_t> m_unsettled;
};

} // namespace crowlink::internal
