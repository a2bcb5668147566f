#include "agent_fixture.hpp"
#include "crowlink/agent/admission.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <queue>

namespace crowlink::test
{

namespace
{

using std::chrono::milliseconds;

// The load after an outage: all waiting callers ask at once, and new callers
// keep arriving at 60% of the upstream's capacity.
constexpr std::size_t waiting_callers = 90;
constexpr duration run_time = milliseconds(35);
constexpr duration caller_interval = milliseconds(15);
constexpr duration simulated_time = std::chrono::seconds(6);
constexpr std::uint32_t slots = 4;
constexpr std::size_t upstream_queue = 16;
// The times of a caller's copies of the opening packet; then it makes a new
// attempt.
constexpr duration copies[] = {milliseconds(0), milliseconds(200),
                               milliseconds(600)};
constexpr duration retry_pause = milliseconds(100);
constexpr int max_attempts = 3;
constexpr duration target_time = milliseconds(150);
constexpr duration deadline = milliseconds(2500);

struct outcome
{
    std::size_t callers = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    // Attempts that the upstream itself rejected.
    std::size_t shed = 0;
};

// Simulates one upstream with slots and a bounded queue behind the real
// admission.
class simulated_load
{
public:
    explicit simulated_load(std::uint32_t work_per_slot)
        : m_admission(std::chrono::seconds(2), m_start, work_per_slot, slots)
    {
        service declared;
        declared.sharing.cold_start = duration::zero();
        m_admission.declare(declared, 100);
    }

    outcome simulate()
    {
        for (std::size_t i = 0; i < waiting_callers; ++i)
        {
            ask(m_start, m_start, 1, 0);
        }
        for (time_point at = m_start; at < m_start + simulated_time;
             at += caller_interval)
        {
            ask(at, at, 1, 0);
        }
        while (!m_events.empty())
        {
            const event next = m_events.top();
            m_events.pop();
            take(next);
        }
        return m_outcome;
    }

private:
    struct event
    {
        time_point at;
        // The caller's first attempt; for the end of a run, that of its caller.
        time_point asked;
        int attempts = 0;
        std::size_t copy = 0;
        bool ends = false;

        friend bool operator<(const event& first, const event& second)
        {
            return first.at > second.at;
        }
    };

    void ask(time_point at, time_point asked, int attempts, std::size_t copy)
    {
        m_events.push(event{at, asked, attempts, copy, false});
    }

    void take(const event& next)
    {
        if (next.ends)
        {
            finish(next);
            return;
        }
        m_outcome.callers += next.attempts == 1 && next.copy == 0 ? 1 : 0;
        if (m_admission.can_admit(next.at, 0))
        {
            reach(next);
            return;
        }
        const bool will_retransmit = next.copy + 1 < std::size(copies);
        if (will_retransmit)
        {
            ask(next.at - copies[next.copy] + copies[next.copy + 1], next.asked,
                next.attempts, next.copy + 1);
            return;
        }
        retry(next);
    }

    void reach(const event& next)
    {
        if (m_running < slots)
        {
            run(next);
        }
        else if (m_queue.size() < upstream_queue)
        {
            m_queue.push_back(next);
            m_admission.started(1);
        }
        else
        {
            ++m_outcome.shed;
            retry(next);
        }
    }

    void run(const event& next)
    {
        ++m_running;
        m_admission.started(1);
        event end = next;
        end.at = next.at + run_time;
        end.ends = true;
        m_events.push(end);
    }

    void finish(const event& done)
    {
        --m_running;
        m_admission.ended(done.at, 1, true);
        const duration took = done.at - done.asked;
        m_outcome.in_time += took <= target_time ? 1 : 0;
        m_outcome.late += took > target_time && took <= deadline ? 1 : 0;
        if (!m_queue.empty())
        {
            event next = m_queue.front();
            m_queue.pop_front();
            m_admission.ended(done.at, 1, true);
            next.at = done.at;
            run(next);
        }
    }

    void retry(const event& next)
    {
        const time_point again = next.at + retry_pause;
        if (next.attempts < max_attempts && again - next.asked < deadline)
        {
            ask(again, next.asked, next.attempts + 1, 0);
        }
    }

    time_point m_start{std::chrono::hours(1)};
    internal::admission m_admission;
    std::priority_queue<event> m_events;
    std::deque<event> m_queue;
    std::size_t m_running = 0;
    outcome m_outcome;
};

// Late answers count for 0.3 of those in time.
double score(const outcome& got)
{
    return (static_cast<double>(got.in_time) +
            0.3 * static_cast<double>(got.late)) /
           static_cast<double>(got.callers);
}

} // namespace

TEST(work_limit, serves_more_callers_in_time_than_without_a_limit)
{
    const outcome naive = simulated_load(0).simulate();
    const outcome bounded = simulated_load(4).simulate();
    EXPECT_EQ(naive.callers, bounded.callers);
    EXPECT_GT(naive.shed, 0U);
    EXPECT_EQ(bounded.shed, 0U);
    EXPECT_GE(bounded.in_time, naive.in_time);
    EXPECT_EQ(bounded.in_time + bounded.late, bounded.callers);
    EXPECT_GT(score(bounded), score(naive));
    RecordProperty("naive", std::to_string(score(naive)));
    RecordProperty("bounded", std::to_string(score(bounded)));
}

// An agent that found its upstream running learns its slots from the first
// announcement. Before, the limits of the document held until it restarted.
TEST(work_limit, slots_that_are_reported_later_take_effect)
{
    agent_settings settings;
    settings.self = agent_fixture::member(0);
    settings.work_per_slot = 1;
    const time_point now{std::chrono::hours(1)};
    agent core(settings, now);
    recording_effects effects;
    auto view = std::make_shared<service_view>();
    view->declared.id = service_id(5);
    view->declared.sharing = agent_fixture::warm_sharing();
    view->declared.limits.slots = 8;
    view->members = {agent_fixture::member(0)};
    core.handle(now, view_changed{view}, effects);
    core.handle(now, work_started{2}, effects);
    core.handle(now, upstream_start_reported{time_point(), false, false, 2},
                effects);
    packet_header opens;
    opens.service = service_id(5);
    opens.flow = agent_fixture::flow(1);
    opens.role = packet_role::opens;
    opens.current.push_back(agent_fixture::identity(0));
    const packet_arrived opening{opens, {}, answer_need::required};
    core.handle(now, opening, effects);
    EXPECT_EQ(effects.refusals.size(), 1U);
    EXPECT_TRUE(effects.delivered.empty());
    // A view declares other limits; the announced slots stay.
    auto next = std::make_shared<service_view>(*view);
    next->version = config_version(2);
    core.handle(now, view_changed{next}, effects);
    core.handle(now, upstream_start_reported{}, effects);
    core.handle(now, opening, effects);
    EXPECT_EQ(effects.refusals.size(), 2U);
    core.handle(now, work_ended{1, true}, effects);
    core.handle(now, opening, effects);
    EXPECT_EQ(effects.delivered.size(), 1U);
}

TEST(work_limit, defers_callers_that_will_retransmit)
{
    agent_settings settings;
    settings.self = agent_fixture::member(0);
    settings.work_per_slot = 1;
    settings.slots = 1;
    const time_point now{std::chrono::hours(1)};
    agent core(settings, now);
    recording_effects effects;
    auto view = std::make_shared<service_view>();
    view->declared.id = service_id(5);
    view->declared.sharing = agent_fixture::warm_sharing();
    view->members = {agent_fixture::member(0)};
    core.handle(now, view_changed{view}, effects);
    core.handle(now, work_started{1}, effects);
    packet_header opens;
    opens.service = service_id(5);
    opens.flow = agent_fixture::flow(1);
    opens.role = packet_role::opens;
    opens.current.push_back(agent_fixture::identity(0));
    packet_arrived copy{opens, {}, answer_need::required};
    copy.will_retransmit = true;
    core.handle(now, copy, effects);
    EXPECT_TRUE(effects.refusals.empty());
    EXPECT_TRUE(effects.delivered.empty());
    copy.will_retransmit = false;
    core.handle(now, copy, effects);
    ASSERT_EQ(effects.refusals.size(), 1U);
    EXPECT_EQ(effects.refusals[0].told.outcome, verdict::not_run);
    core.handle(now, work_ended{1, true}, effects);
    core.handle(now, copy, effects);
    EXPECT_EQ(effects.delivered.size(), 1U);
}

} // namespace crowlink::test
