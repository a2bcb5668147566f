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

TEST(shedding, cold_upstream_warms_up_with_time_and_answers)
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

TEST(shedding, share_falls_on_a_stall_and_recovers_with_answers)
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

TEST(shedding, at_most_a_third_gets_permission_even_across_coordinators)
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

TEST(shedding, stalled_upstream_without_permission_still_admits_flows)
{
    for (const bool granted : {false, true})
    {
        agent_fixture fixture(7);
        fixture.call(1);
        fixture.answer(1);
        for (int i = 0; i < 100; ++i)
        {
            fixture.call(1);
            fixture.advance(200ms);
            if (granted)
            {
                fixture.deliver_message(
                    shed_grant{service_id(5), fixture.core->tag(), 5s});
            }
        }
        EXPECT_EQ(fixture.core->sheds(fixture.now), granted);
        // The first flow is the trial; the second shows the difference.
        fixture.call(2);
        fixture.call(3);
        EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(2)));
        EXPECT_EQ(fixture.core->owns(agent_fixture::flow(3)), !granted);
        EXPECT_EQ(fixture.effects.refusals.size(), granted ? 1U : 0U);
    }
}

TEST(shedding, upstream_recovers_through_trial_flows)
{
    agent_fixture fixture(7);
    fixture.call(1);
    fixture.answer(1);
    std::uint16_t next = 2;
    for (int i = 0; i < 100; ++i)
    {
        fixture.call(1);
        fixture.advance(200ms);
        fixture.deliver_message(
            shed_grant{service_id(5), fixture.core->tag(), 5s});
    }
    ASSERT_TRUE(fixture.core->sheds(fixture.now));
    for (int i = 0; i < 10; ++i)
    {
        fixture.call(next);
        fixture.answer(next);
        ++next;
        fixture.advance(1s);
    }
    EXPECT_FALSE(fixture.core->sheds(fixture.now));
}

} // namespace crowlink::test
