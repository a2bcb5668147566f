#include "crowlink/requests/at_most_once.hpp"

#include <gtest/gtest.h>
#include <map>
#include <ostream>
#include <set>
#include <vector>

namespace crowlink
{
namespace
{

constexpr std::uint64_t caller_secret = 77;

memory_limits small_memory()
{
    memory_limits limits;
    limits.sessions = 2;
    limits.answer_bytes = 10;
    limits.session_idle_timeout = std::chrono::seconds(1);
    return limits;
}

// A memory of request ids without any ticket, as the oldest servers keep.
class ids_only
{
public:
    explicit ids_only(incarnation /*own*/) {}

    ticket open(time_point /*now*/, std::uint64_t secret)
    {
        return {incarnation(), 0, secret};
    }

    bool runs(time_point /*now*/, const ticket& session_ticket,
              std::uint64_t sequence)
    {
        const auto key = std::pair(session_ticket.secret, sequence);
        if (!m_seen.insert(key).second)
        {
            return false;
        }
        m_order.push_back(key);
        if (m_order.size() > small_memory().sessions)
        {
            m_seen.erase(m_order.front());
            m_order.erase(m_order.begin());
        }
        return true;
    }

private:
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_seen;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_order;
};

// Tickets of an incarnation, but for sessions that the caller names.
class caller_named_sessions
{
public:
    explicit caller_named_sessions(incarnation own) : m_own(own) {}

    ticket open(time_point /*now*/, std::uint64_t secret)
    {
        if (m_sessions.emplace(secret, std::set<std::uint64_t>()).second)
        {
            m_order.push_back(secret);
        }
        if (m_order.size() > small_memory().sessions)
        {
            m_sessions.erase(m_order.front());
            m_order.erase(m_order.begin());
        }
        return {m_own, 0, secret};
    }

    bool runs(time_point /*now*/, const ticket& session_ticket,
              std::uint64_t sequence)
    {
        const auto found = m_sessions.find(session_ticket.secret);
        return session_ticket.issued_by == m_own && found != m_sessions.end() &&
               found->second.insert(sequence).second;
    }

private:
    incarnation m_own;
    std::map<std::uint64_t, std::set<std::uint64_t>> m_sessions;
    std::vector<std::uint64_t> m_order;
};

// The memory of the module.
class session_tickets
{
public:
    explicit session_tickets(incarnation own) : m_memory(own, small_memory()) {}

    ticket open(time_point now, std::uint64_t secret)
    {
        return m_memory.open(now, secret).value_or(ticket());
    }

    bool runs(time_point now, const ticket& session_ticket,
              std::uint64_t sequence)
    {
        const sequence_lookup seen =
            m_memory.sight(now, session_ticket, sequence, 0);
        if (seen.kind == sequence_status::fresh)
        {
            m_memory.finish(session_ticket.session, sequence, {});
        }
        return seen.kind == sequence_status::fresh;
    }

private:
    at_most_once m_memory;
};

// How often one request ran in each history of the network.
struct history_runs
{
    int duplicated = 0;
    int resent_to_another_agent = 0;
    int resent_after_restart = 0;
    int late_after_memory_pressure = 0;

    friend bool operator==(const history_runs&, const history_runs&) = default;
    friend std::ostream& operator<<(std::ostream& to, const history_runs& runs)
    {
        return to << runs.duplicated << ' ' << runs.resent_to_another_agent
                  << ' ' << runs.resent_after_restart << ' '
                  << runs.late_after_memory_pressure;
    }
};

template <class Memory>
history_runs run_histories()
{
    const time_point now{};
    const auto runs =
        [](Memory& first, Memory& second, const ticket& session_ticket)
    {
        return int{first.runs(time_point{}, session_ticket, 1)} +
               int{second.runs(time_point{}, session_ticket, 1)};
    };
    history_runs counted;
    Memory one{incarnation(1)};
    counted.duplicated = runs(one, one, one.open(now, caller_secret));
    Memory two{incarnation(2)};
    Memory other{incarnation(3)};
    other.open(now, caller_secret);
    counted.resent_to_another_agent =
        runs(two, other, two.open(now, caller_secret));
    Memory before{incarnation(4)};
    Memory after{incarnation(5)};
    const ticket of_before = before.open(now, caller_secret);
    after.open(now, caller_secret);
    counted.resent_after_restart = runs(before, after, of_before);
    // Other callers push the session out; then late copies of its opening and
    // of its request arrive.
    Memory pressed{incarnation(6)};
    const ticket early = pressed.open(now, caller_secret);
    counted.late_after_memory_pressure = int{pressed.runs(now, early, 1)};
    time_point later = now;
    for (std::uint64_t secret = 1000; secret < 1010; ++secret)
    {
        later += std::chrono::seconds(2);
        pressed.runs(later, pressed.open(later, secret), 1);
    }
    later += std::chrono::seconds(2);
    pressed.open(later, caller_secret);
    counted.late_after_memory_pressure += int{pressed.runs(later, early, 1)};
    return counted;
}

TEST(at_most_once, session_tickets_run_once_in_every_history)
{
    EXPECT_EQ(run_histories<session_tickets>(), (history_runs{1, 1, 1, 1}));
}

TEST(at_most_once, weaker_schemes_run_twice_in_the_histories_they_miss)
{
    EXPECT_EQ(run_histories<ids_only>(), (history_runs{1, 2, 2, 2}));
    EXPECT_EQ(run_histories<caller_named_sessions>(),
              (history_runs{1, 1, 1, 2}));
}

TEST(at_most_once, a_settled_sequence_is_never_fresh_again)
{
    at_most_once memory(incarnation(1), small_memory());
    const time_point now{};
    const ticket session_ticket = *memory.open(now, caller_secret);
    EXPECT_EQ(memory.sight(now, session_ticket, 1, 0).kind,
              sequence_status::fresh);
    EXPECT_EQ(memory.sight(now, session_ticket, 1, 0).kind,
              sequence_status::known);
    EXPECT_EQ(memory.sight(now, session_ticket, 3, 3).kind,
              sequence_status::fresh);
    EXPECT_EQ(memory.sight(now, session_ticket, 1, 0).kind,
              sequence_status::settled);
    EXPECT_EQ(memory.sight(now, session_ticket, 2, 0).kind,
              sequence_status::settled);
    EXPECT_EQ(memory.sight(now, session_ticket, 3 + sequence_window, 0).kind,
              sequence_status::beyond_window);
}

TEST(at_most_once, a_ticket_is_honoured_only_with_its_secret)
{
    at_most_once memory(incarnation(1), small_memory());
    const time_point now{};
    ticket guessed = *memory.open(now, caller_secret);
    ++guessed.secret;
    EXPECT_EQ(memory.sight(now, guessed, 1, 0).kind, sequence_status::stale);
}

TEST(at_most_once, answers_beyond_the_bound_are_forgotten_but_not_run_again)
{
    at_most_once memory(incarnation(1), small_memory());
    const time_point now{};
    const ticket session_ticket = *memory.open(now, caller_secret);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
    {
        memory.sight(now, session_ticket, sequence, 0);
        memory.finish(session_ticket.session, sequence,
                      {verdict::ran, answer_reason::answered, {}, "123456"});
    }
    EXPECT_EQ(memory.answer_bytes(), 6U);
    const sequence_lookup oldest = memory.sight(now, session_ticket, 1, 0);
    ASSERT_EQ(oldest.kind, sequence_status::known);
    EXPECT_EQ(oldest.request->answer->reason, answer_reason::answer_lost);
    EXPECT_EQ(oldest.request->answer->outcome, verdict::may_have_run);
}

TEST(at_most_once, a_session_with_pending_work_or_in_use_is_not_forgotten)
{
    at_most_once memory(incarnation(1), small_memory());
    time_point now{};
    const ticket busy = *memory.open(now, 1);
    memory.sight(now, busy, 1, 0);
    EXPECT_TRUE(memory.open(now, 2));
    EXPECT_FALSE(memory.open(now, 3));
    now += std::chrono::seconds(2);
    EXPECT_FALSE(memory.open(now, 3));
    memory.finish(busy.session, 1, {});
    EXPECT_TRUE(memory.open(now, 3));
    EXPECT_EQ(memory.sight(now, busy, 1, 0).kind, sequence_status::stale);
    EXPECT_EQ(memory.sessions(), 2U);
}

} // namespace
} // namespace crowlink
