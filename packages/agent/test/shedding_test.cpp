#include "agent_fixture.hpp"
#include "crowlink/agent/load_units.hpp"
#include "crowlink/agent/progress_monitor.hpp"
#include "crowlink/agent/shed_coordinator.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;
using internal::full_share;

constexpr time_point start{1h};

} // namespace

TEST(shedding, a_cold_upstream_warms_with_time_and_answers)
{
    internal::progress_monitor monitor(2s, start);
    monitor.assess(start, false, 10s);
    EXPECT_EQ(monitor.share(), full_share / 10);
    for (int i = 0; i < 16; ++i)
    {
        monitor.progressed(start + 5s);
    }
    monitor.assess(start + 5s, false, 10s);
    EXPECT_NEAR(monitor.share(), 550000, 1000);
    // Time alone does not warm up an upstream that gets requests and never
    // answers.
    internal::progress_monitor unanswering(2s, start);
    unanswering.assess(start + 60s, true, 10s);
    EXPECT_EQ(unanswering.share(), full_share / 10);
}

TEST(shedding, a_stalled_upstream_falls_and_one_that_answers_recovers)
{
    internal::progress_monitor monitor(2s, start);
    monitor.assume_warm();
    monitor.progressed(start);
    time_point now = start;
    monitor.assess(now, true, 10s);
    EXPECT_EQ(monitor.share(), full_share);
    for (int i = 0; i < 5; ++i)
    {
        now += 2s;
        monitor.assess(now, true, 10s);
    }
    EXPECT_TRUE(monitor.wants_to_shed());
    EXPECT_LE(monitor.share(), full_share / 8);
    // Hysteresis: the first answer does not end shedding, several do.
    monitor.progressed(now);
    monitor.assess(now, true, 10s);
    EXPECT_TRUE(monitor.wants_to_shed());
    for (int i = 0; i < 3; ++i)
    {
        monitor.progressed(now);
        monitor.assess(now, true, 10s);
    }
    EXPECT_FALSE(monitor.wants_to_shed());
}

TEST(shedding, at_most_a_third_gets_leave_also_across_wardens)
{
    internal::shed_coordinator coordinator(5s);
    coordinator.set_coordinator(start, true);
    EXPECT_FALSE(coordinator.grant(start + 9s, 1, 7));
    const time_point now = start + 10s;
    EXPECT_TRUE(coordinator.grant(now, 1, 7));
    EXPECT_TRUE(coordinator.grant(now, 2, 7));
    EXPECT_FALSE(coordinator.grant(now, 3, 7));
    EXPECT_TRUE(coordinator.grant(now, 1, 7));
    EXPECT_TRUE(coordinator.grant(now + 6s, 3, 7));
    EXPECT_FALSE(coordinator.grant(now + 6s, 4, 2));
}

TEST(shedding, without_leave_a_stalled_upstream_still_takes_flows)
{
    for (const bool granted : {false, true})
    {
        agent_fixture one(7);
        one.call(1);
        one.answer(1);
        for (int i = 0; i < 100; ++i)
        {
            one.call(1);
            one.advance(200ms);
            if (granted)
            {
                one.tell(shed_grant{service_id(5), one.core->tag(), 5s});
            }
        }
        EXPECT_EQ(one.core->sheds(one.now), granted);
        // The first flow is the trial; the second shows the difference.
        one.call(2);
        one.call(3);
        EXPECT_TRUE(one.core->owns(agent_fixture::flow(2)));
        EXPECT_EQ(one.core->owns(agent_fixture::flow(3)), !granted);
        EXPECT_EQ(one.effects.refusals.size(), granted ? 1U : 0U);
    }
}

TEST(shedding, an_upstream_recovers_by_its_trials)
{
    agent_fixture one(7);
    one.call(1);
    one.answer(1);
    std::uint16_t next = 2;
    for (int i = 0; i < 100; ++i)
    {
        one.call(1);
        one.advance(200ms);
        one.tell(shed_grant{service_id(5), one.core->tag(), 5s});
    }
    ASSERT_TRUE(one.core->sheds(one.now));
    for (int i = 0; i < 10; ++i)
    {
        one.call(next);
        one.answer(next);
        ++next;
        one.advance(1s);
    }
    EXPECT_FALSE(one.core->sheds(one.now));
}

} // namespace crowlink::test
