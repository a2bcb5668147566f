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
    // (4 + q + 1) / 2 * 30 ms is within the 150 ms of the entry for 6 packets;
    // the estimate differs by some percent.
    for (std::uint16_t i = 1; i <= 5; ++i)
    {
        fixture.open(opening_fixture::flow(i));
    }
    EXPECT_TRUE(fixture.effects.refusals.empty());
    EXPECT_EQ(fixture.core->held(), 5U);
    for (std::uint16_t i = 6; i <= 200; ++i)
    {
        fixture.open(opening_fixture::flow(i));
    }
    EXPECT_NEAR(static_cast<double>(fixture.core->held()), 6, 1);
    EXPECT_EQ(fixture.effects.refusals.size(), 200 - fixture.core->held());
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

// Decisions about a service whose shares have no terms must not change: the
// agent decides as for a service without shares, with idle and with full slots.
TEST(held_opening, shares_without_terms_change_no_decision)
{
    opening_fixture without_terms(false);
    opening_fixture without_shares(false);
    const auto view = std::make_shared<service_view>(*without_shares.view());
    view->declared.shares.clear();
    without_shares.handle(view_changed{view});
    for (opening_fixture* each : {&without_terms, &without_shares})
    {
        each->observe();
        for (std::uint16_t i = 1; i <= 40; ++i)
        {
            each->open(opening_fixture::flow(i), i % 3U);
            each->now += milliseconds(10);
            if (i % 4 == 0 && each->running > 0)
            {
                each->complete();
            }
            each->handle(tick{});
        }
        EXPECT_EQ(each->core->held(), 0U);
        EXPECT_TRUE(each->core->openings().empty());
    }
    EXPECT_GT(without_terms.core->counts().deferred, 0U);
    EXPECT_GT(without_terms.core->counts().refused, 0U);
    EXPECT_EQ(without_terms.core->counts(), without_shares.core->counts());
    EXPECT_EQ(without_terms.effects.delivered,
              without_shares.effects.delivered);
    ASSERT_EQ(without_terms.effects.decisions.size(),
              without_shares.effects.decisions.size());
    for (std::size_t i = 0; i < without_terms.effects.decisions.size(); ++i)
    {
        flow_decision expected = without_shares.effects.decisions[i];
        expected.table = without_terms.effects.decisions[i].table;
        EXPECT_EQ(without_terms.effects.decisions[i], expected) << i;
    }
}

// Packets that only wait in the agent must reach another upstream when this one
// leaves, and their copies must follow.
TEST(held_opening, goes_on_to_the_next_candidate_when_the_upstream_leaves)
{
    opening_fixture fixture(true, 2, 2);
    fixture.fill();
    packet_header sent = fixture.header(opening_fixture::flow(1), 2);
    sent.pass = packet_pass::place;
    fixture.open(sent);
    ASSERT_EQ(fixture.core->held(), 1U);
    fixture.effects = recording_effects();
    fixture.handle(leave_requested{});
    EXPECT_EQ(fixture.core->held(), 0U);
    ASSERT_EQ(fixture.effects.forwards.size(), 1U);
    EXPECT_EQ(fixture.effects.forwards[0].to, agent_fixture::address(1));
    EXPECT_EQ(fixture.effects.forwards[0].header.pass, packet_pass::place);
    sent.pass = packet_pass::lookup;
    fixture.open(sent, 1);
    ASSERT_EQ(fixture.effects.forwards.size(), 2U);
    EXPECT_EQ(fixture.effects.forwards[1].to, agent_fixture::address(1));
    // As one that is already placed: that candidate must not compare others.
    EXPECT_EQ(fixture.effects.forwards[1].header.pass, packet_pass::place);
    EXPECT_TRUE(fixture.effects.delivered.empty());
}

// Without another candidate the callers must be told, truthfully.
TEST(held_opening, is_refused_when_the_only_upstream_leaves)
{
    opening_fixture fixture;
    fixture.fill();
    fixture.open(opening_fixture::flow(1));
    fixture.open(opening_fixture::flow(2));
    fixture.handle(upstream_failed{});
    ASSERT_EQ(fixture.effects.refusals.size(), 2U);
    EXPECT_EQ(fixture.effects.refusals[0].told.outcome, verdict::not_run);
    EXPECT_EQ(fixture.effects.refusals[0].told.reason, refusal_reason::leaving);
    EXPECT_TRUE(fixture.effects.delivered.empty());
}

// An upstream that is known as too slow for any caller would otherwise get no
// request that shows that it has recovered.
TEST(held_opening, gets_a_free_slot_whatever_the_service_time_was)
{
    opening_fixture fixture;
    fixture.observe(milliseconds(1600));
    fixture.open(opening_fixture::flow(1));
    EXPECT_EQ(fixture.effects.delivered.size(), 1U);
    fixture.open(opening_fixture::flow(2));
    EXPECT_EQ(fixture.effects.delivered.size(), 2U);
    fixture.open(opening_fixture::flow(3));
    EXPECT_EQ(fixture.effects.delivered.size(), 2U);
    EXPECT_EQ(fixture.effects.refusals.size(), 1U);
}

// A copy that reached another agent may be admitted there; the flow must not
// start here as well.
TEST(held_opening, is_dropped_when_another_agent_owns_the_flow)
{
    opening_fixture fixture(true, 2, 2);
    fixture.fill();
    fixture.open(opening_fixture::flow(1));
    ASSERT_EQ(fixture.core->held(), 1U);
    const peer_message told = redirect_notice{
        service_id(5),
        agent_fixture::identity(0).tag,
        agent_fixture::identity(1),
        std::chrono::minutes(1),
        {owned_flow{opening_fixture::flow(1), milliseconds(1)}}};
    const endpoint from = agent_fixture::address(1);
    fixture.handle(message_arrived{from, told});
    EXPECT_EQ(fixture.core->held(), 0U);
    fixture.complete();
    EXPECT_TRUE(fixture.effects.delivered.empty());
    EXPECT_TRUE(fixture.effects.refusals.empty());
}

// A cold upstream's limit frees up by itself; relying on the copy costs 200 ms.
TEST(held_opening, waits_for_the_limit_of_a_cold_upstream)
{
    opening_fixture fixture(true, 2, 1, 2);
    fixture.handle(upstream_start_reported{
        fixture.now + std::chrono::seconds(60), false, false, 2});
    fixture.open(opening_fixture::flow(1));
    fixture.now += milliseconds(900);
    fixture.open(opening_fixture::flow(2));
    fixture.open(opening_fixture::flow(3));
    EXPECT_EQ(fixture.effects.delivered.size(), 2U);
    EXPECT_EQ(fixture.core->held(), 1U);
    EXPECT_EQ(fixture.core->counts().deferred, 0U);
    fixture.run(milliseconds(150));
    EXPECT_EQ(fixture.effects.delivered.size(), 3U);
}

// Urgent packets that come later start first and push the others beyond their
// time: those must be told at once.
TEST(held_opening, is_refused_when_urgent_ones_take_its_place)
{
    opening_fixture fixture;
    fixture.fill();
    for (std::uint16_t i = 1; i <= 5; ++i)
    {
        fixture.open(opening_fixture::flow(i, opening_fixture::other_port));
    }
    ASSERT_EQ(fixture.core->held(), 5U);
    for (std::uint16_t i = 1; i <= 18; ++i)
    {
        fixture.now += milliseconds(15);
        fixture.open(opening_fixture::flow(i));
        fixture.complete();
        fixture.handle(tick{});
    }
    ASSERT_FALSE(fixture.effects.refusals.empty());
    for (const auto& each : fixture.effects.refusals)
    {
        EXPECT_EQ(each.flow.service.port, opening_fixture::other_port);
        EXPECT_EQ(each.told.reason, refusal_reason::too_late);
        EXPECT_EQ(each.told.outcome, verdict::not_run);
        EXPECT_FALSE(fixture.core->owns(each.flow));
    }
}

} // namespace crowlink::test
