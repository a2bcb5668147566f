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

// A bounded set of request ids without tickets, as in a simple duplicate cache.
class bounded_id_set
{
public:
    explicit bounded_id_set(incarnation /*own*/) {}

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

// Tickets with an incarnation, but sessions identified by the secret of the
// caller instead of a number that is never reused.
class sessions_by_secret
{
public:
    explicit sessions_by_secret(incarnation own) : m_own(own) {}

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

// The at_most_once memory.
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
            m_memory.look_up(now, session_ticket, sequence, 0);
        if (seen.kind == sequence_status::fresh)
        {
            m_memory.finish(session_ticket.session, sequence, {});
        }
        return seen.kind == sequence_status::fresh;
    }

private:
    at_most_once m_memory;
};

// How often a request ran in each scenario.
struct scenario_runs
{
    int duplicated = 0;
    int resent_to_another_agent = 0;
    int resent_after_restart = 0;
    int late_after_memory_pressure = 0;

    friend bool operator==(const scenario_runs&,
                           const scenario_runs&) = default;
    friend std::ostream& operator<<(std::ostream& to, const scenario_runs& runs)
    {
        return to << runs.duplicated << ' ' << runs.resent_to_another_agent
                  << ' ' << runs.resent_after_restart << ' '
                  << runs.late_after_memory_pressure;
    }
};

template <class Memory>
scenario_runs run_scenarios()
{
    const time_point now{};
    const auto runs =
        [](Memory& first, Memory& second, const ticket& session_ticket)
    {
        return int{first.runs(time_point{}, session_ticket, 1)} +
               int{second.runs(time_point{}, session_ticket, 1)};
    };
    scenario_runs counted;
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
    // Sessions of other callers evict the session; then late duplicates of its
    // opening and of its request arrive.
    Memory full{incarnation(6)};
    const ticket evicted = full.open(now, caller_secret);
    counted.late_after_memory_pressure = int{full.runs(now, evicted, 1)};
    time_point later = now;
    for (std::uint64_t secret = 1000; secret < 1010; ++secret)
    {
        later += std::chrono::seconds(2);
        full.runs(later, full.open(later, secret), 1);
    }
    later += std::chrono::seconds(2);
    full.open(later, caller_secret);
    counted.late_after_memory_pressure += int{full.runs(later, evicted, 1)};
    return counted;
}

TEST(at_most_once, session_tickets_run_a_request_once_in_each_scenario)
{
    EXPECT_EQ(run_scenarios<session_tickets>(), (scenario_runs{1, 1, 1, 1}));
}

TEST(at_most_once, weaker_schemes_run_a_request_twice_in_some_scenarios)
{
    EXPECT_EQ(run_scenarios<bounded_id_set>(), (scenario_runs{1, 2, 2, 2}));
    EXPECT_EQ(run_scenarios<sessions_by_secret>(), (scenario_runs{1, 1, 1, 2}));
}

TEST(at_most_once, a_settled_sequence_is_not_accepted_again)
{
    at_most_once memory(incarnation(1), small_memory());
    const time_point now{};
    const ticket session_ticket = *memory.open(now, caller_secret);
    EXPECT_EQ(memory.look_up(now, session_ticket, 1, 0).kind,
              sequence_status::fresh);
    EXPECT_EQ(memory.look_up(now, session_ticket, 1, 0).kind,
              sequence_status::known);
    EXPECT_EQ(memory.look_up(now, session_ticket, 3, 3).kind,
              sequence_status::fresh);
    EXPECT_EQ(memory.look_up(now, session_ticket, 1, 0).kind,
              sequence_status::settled);
    EXPECT_EQ(memory.look_up(now, session_ticket, 2, 0).kind,
              sequence_status::settled);
    EXPECT_EQ(memory.look_up(now, session_ticket, 3 + sequence_window, 0).kind,
              sequence_status::beyond_window);
}

TEST(at_most_once, a_ticket_with_a_wrong_secret_is_stale)
{
    at_most_once memory(incarnation(1), small_memory());
    const time_point now{};
    ticket forged = *memory.open(now, caller_secret);
    ++forged.secret;
    EXPECT_EQ(memory.look_up(now, forged, 1, 0).kind, sequence_status::stale);
}

TEST(at_most_once, evicted_answers_are_reported_lost_and_not_run_again)
{
    at_most_once memory(incarnation(1), small_memory());
    const time_point now{};
    const ticket session_ticket = *memory.open(now, caller_secret);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence)
    {
        memory.look_up(now, session_ticket, sequence, 0);
        memory.finish(session_ticket.session, sequence,
                      {verdict::ran, answer_reason::answered, {}, "123456"});
    }
    EXPECT_EQ(memory.answer_bytes(), 6U);
    const sequence_lookup oldest = memory.look_up(now, session_ticket, 1, 0);
    ASSERT_EQ(oldest.kind, sequence_status::known);
    EXPECT_EQ(oldest.request->answer->reason, answer_reason::answer_lost);
    EXPECT_EQ(oldest.request->answer->outcome, verdict::may_have_run);
}

TEST(at_most_once, a_session_that_is_pending_or_recently_used_is_kept)
{
    at_most_once memory(incarnation(1), small_memory());
    time_point now{};
    const ticket pending = *memory.open(now, 1);
    memory.look_up(now, pending, 1, 0);
    EXPECT_TRUE(memory.open(now, 2));
    EXPECT_FALSE(memory.open(now, 3));
    now += std::chrono::seconds(2);
    EXPECT_FALSE(memory.open(now, 3));
    memory.finish(pending.session, 1, {});
    EXPECT_TRUE(memory.open(now, 3));
    EXPECT_EQ(memory.look_up(now, pending, 1, 0).kind, sequence_status::stale);
    EXPECT_EQ(memory.sessions(), 2U);
}

} // namespace
} // namespace crowlink
