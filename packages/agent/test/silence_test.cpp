#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

// Answers another flow of the same upstream for this many seconds.
void others_progress(agent_fixture& fixture, int seconds)
{
    for (int i = 0; i < seconds; ++i)
    {
        fixture.call(99);
        fixture.answer(99);
        fixture.advance(1s);
    }
}

} // namespace

TEST(silence, resets_caller_and_upstream_after_unanswered_datagrams)
{
    agent_fixture fixture(3);
    fixture.call(1);
    for (int i = 0; i < 8; ++i)
    {
        others_progress(fixture, 5);
        fixture.call(1);
    }
    ASSERT_EQ(fixture.effects.caller_resets.size(), 1U);
    const auto& reset = fixture.effects.caller_resets.front();
    EXPECT_EQ(reset.flow, agent_fixture::flow(1));
    EXPECT_EQ(reset.told.reason, refusal_reason::silent);
    EXPECT_EQ(reset.told.outcome, verdict::may_have_run);
    EXPECT_EQ(fixture.effects.upstream_resets.size(), 1U);
    EXPECT_EQ(fixture.core->counts().silent, 1U);
}

TEST(silence, resets_after_one_unanswered_request_that_needs_an_answer)
{
    agent_fixture fixture(3);
    fixture.call(1, answer_need::required);
    others_progress(fixture, 29);
    EXPECT_TRUE(fixture.effects.caller_resets.empty());
    others_progress(fixture, 10);
    EXPECT_EQ(fixture.effects.caller_resets.size(), 1U);
}

// A quiet stream: the caller has acknowledged a few items and waits, as the
// upstream has nothing to send for twenty minutes.
TEST(silence, keeps_a_quiet_stream)
{
    agent_fixture fixture(3);
    fixture.call(1);
    fixture.answer(1);
    fixture.call(1);
    fixture.call(1);
    fixture.call(1);
    others_progress(fixture, 1200);
    EXPECT_TRUE(fixture.effects.caller_resets.empty());
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(1)));
}

TEST(silence, two_distant_datagrams_are_no_retransmission)
{
    agent_fixture fixture(3);
    fixture.call(1);
    others_progress(fixture, 20);
    fixture.call(1);
    others_progress(fixture, 100);
    EXPECT_TRUE(fixture.effects.caller_resets.empty());
}

TEST(silence, resets_nothing_when_no_flow_is_answered)
{
    agent_fixture fixture(3);
    for (int i = 0; i < 40; ++i)
    {
        fixture.call(1);
        fixture.call(2);
        fixture.advance(2s);
    }
    EXPECT_TRUE(fixture.effects.caller_resets.empty());
}

TEST(silence, closes_idle_flows_and_keeps_active_ones)
{
    agent_fixture fixture(3);
    fixture.call(1);
    fixture.call(2);
    const duration idle = agent_settings().udp_idle;
    for (duration quiet{}; quiet <= idle; quiet += 60s)
    {
        fixture.call(2);
        fixture.answer(2);
        fixture.advance(60s);
    }
    EXPECT_FALSE(fixture.core->owns(agent_fixture::flow(1)));
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(2)));
    EXPECT_EQ(fixture.core->counts().idle_closed, 1U);
}

} // namespace crowlink::test
