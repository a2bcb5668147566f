#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

// Answers another flow of the same upstream for this many seconds.
void others_progress(agent_fixture& one, int seconds)
{
    for (int i = 0; i < seconds; ++i)
    {
        one.call(99);
        one.answer(99);
        one.advance(1s);
    }
}

} // namespace

TEST(silence, a_caller_that_repeats_itself_in_vain_is_told_as_is_its_upstream)
{
    agent_fixture one(3);
    one.call(1);
    for (int i = 0; i < 8; ++i)
    {
        others_progress(one, 5);
        one.call(1);
    }
    ASSERT_EQ(one.effects.caller_resets.size(), 1U);
    const auto& reset = one.effects.caller_resets.front();
    EXPECT_EQ(reset.flow, agent_fixture::flow(1));
    EXPECT_EQ(reset.told.reason, refusal_reason::silent);
    EXPECT_EQ(reset.told.outcome, verdict::may_have_run);
    EXPECT_EQ(one.effects.upstream_resets.size(), 1U);
    EXPECT_EQ(one.core->counts().silent, 1U);
}

TEST(silence, one_request_that_surely_needs_an_answer_is_enough)
{
    agent_fixture one(3);
    one.call(1, answer_need::required);
    others_progress(one, 29);
    EXPECT_TRUE(one.effects.caller_resets.empty());
    others_progress(one, 10);
    EXPECT_EQ(one.effects.caller_resets.size(), 1U);
}

// A quiet stream: the caller has acknowledged a few items and waits, as the
// upstream has nothing to send for an hour.
TEST(silence, a_quiet_feed_is_left_alone)
{
    agent_fixture one(3);
    one.call(1);
    one.answer(1);
    one.call(1);
    one.call(1);
    one.call(1);
    others_progress(one, 1200);
    EXPECT_TRUE(one.effects.caller_resets.empty());
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(1)));
}

TEST(silence, two_datagrams_far_apart_are_no_repetition)
{
    agent_fixture one(3);
    one.call(1);
    others_progress(one, 20);
    one.call(1);
    others_progress(one, 100);
    EXPECT_TRUE(one.effects.caller_resets.empty());
}

TEST(silence, an_upstream_that_answers_nobody_is_no_silent_flow)
{
    agent_fixture one(3);
    for (int i = 0; i < 40; ++i)
    {
        one.call(1);
        one.call(2);
        one.advance(2s);
    }
    EXPECT_TRUE(one.effects.caller_resets.empty());
}

TEST(silence, an_idle_flow_is_closed_and_a_busy_one_kept)
{
    agent_fixture one(3);
    one.call(1);
    one.call(2);
    const duration idle = agent_settings().udp_idle;
    for (duration quiet{}; quiet <= idle; quiet += 60s)
    {
        one.call(2);
        one.answer(2);
        one.advance(60s);
    }
    EXPECT_FALSE(one.core->owns(agent_fixture::flow(1)));
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(2)));
    EXPECT_EQ(one.core->counts().idle_closed, 1U);
}

} // namespace crowlink::test
