#include "opening_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using std::chrono::milliseconds;

} // namespace

// A caller that finds the slots taken must not wait for its own copy after
// 200 ms.
TEST(held_opening, starts_when_work_ends)
{
    opening_fixture fixture;
    fixture.fill();
    fixture.open(opening_fixture::flow(1));
    EXPECT_TRUE(fixture.effects.delivered.empty());
    EXPECT_TRUE(fixture.effects.refusals.empty());
    EXPECT_EQ(fixture.core->held(), 1U);
    fixture.complete();
    ASSERT_EQ(fixture.effects.delivered.size(), 1U);
    EXPECT_EQ(fixture.effects.delivered[0], opening_fixture::flow(1));
    EXPECT_TRUE(fixture.core->owns(opening_fixture::flow(1)));
    EXPECT_EQ(fixture.core->held(), 0U);
}

// A caller that can't be served in time must be told at once, not after its
// timeout.
TEST(held_opening, is_refused_at_once_when_it_can_not_be_in_time)
{
    opening_fixture fixture;
    fixture.fill();
    // (4 + q + 1) / 2 * 30 ms is within 280 ms for 14 packets.
    for (std::uint16_t i = 1; i <= 14; ++i)
    {
        fixture.open(opening_fixture::flow(i));
    }
    EXPECT_TRUE(fixture.effects.refusals.empty());
    EXPECT_EQ(fixture.core->held(), 14U);
    for (const flow_decision& each : fixture.effects.decisions)
    {
        EXPECT_EQ(each.reason, "in_time");
    }
    // (4 + q + 1) / 2 * 30 ms is within the 1,380 ms that callers wait for 88
    // packets; the estimate differs by some percent.
    for (std::uint16_t i = 15; i <= 200; ++i)
    {
        fixture.open(opening_fixture::flow(i));
    }
    EXPECT_NEAR(static_cast<double>(fixture.core->held()), 88, 4);
    ASSERT_FALSE(fixture.effects.refusals.empty());
    EXPECT_EQ(fixture.effects.refusals.back().told.outcome, verdict::not_run);
    EXPECT_EQ(fixture.effects.refusals.back().told.reason,
              refusal_reason::too_late);
    EXPECT_TRUE(fixture.effects.delivered.empty());
}

// A copy that starts as well would open the flow twice.
TEST(held_opening, starts_once_however_many_copies_come)
{
    opening_fixture fixture;
    fixture.fill();
    fixture.open(opening_fixture::flow(1));
    fixture.open(opening_fixture::flow(2));
    fixture.now += milliseconds(100);
    fixture.open(opening_fixture::flow(1), 1);
    EXPECT_EQ(fixture.core->held(), 2U);
    fixture.complete();
    fixture.complete();
    fixture.complete();
    ASSERT_EQ(fixture.effects.delivered.size(), 2U);
    EXPECT_EQ(fixture.effects.delivered[0], opening_fixture::flow(1));
    EXPECT_EQ(fixture.effects.delivered[1], opening_fixture::flow(2));
}

// A flow whose caller has gone must not take a slot.
TEST(held_opening, is_dropped_when_its_caller_resets)
{
    opening_fixture fixture;
    fixture.fill();
    fixture.open(opening_fixture::flow(1));
    fixture.reset_by_caller(opening_fixture::flow(1));
    EXPECT_EQ(fixture.core->held(), 0U);
    fixture.complete();
    EXPECT_TRUE(fixture.effects.delivered.empty());
    EXPECT_TRUE(fixture.effects.refusals.empty());
}

// Without terms the agent can't tell how long callers wait.
TEST(held_opening, is_not_held_without_terms)
{
    opening_fixture fixture(false);
    fixture.fill(8);
    EXPECT_EQ(fixture.running, 8U);
    fixture.open(opening_fixture::flow(1));
    EXPECT_EQ(fixture.core->held(), 0U);
    EXPECT_EQ(fixture.core->counts().deferred, 1U);
    EXPECT_TRUE(fixture.effects.refusals.empty());
    fixture.open(opening_fixture::flow(1), 2);
    ASSERT_EQ(fixture.effects.refusals.size(), 1U);
    EXPECT_EQ(fixture.effects.refusals[0].told.reason, refusal_reason::full);
}

} // namespace crowlink::test
