#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

redirect_notice claim(const agent_fixture& fixture, std::uint16_t number,
                      duration age, std::size_t rival = 1)
{
    redirect_notice made;
    made.service = service_id(5);
    made.receiver = fixture.core->tag();
    made.owner = agent_fixture::identity(rival);
    made.lifetime = 10min;
    made.flows.push_back(owned_flow{agent_fixture::flow(number), age});
    return made;
}

const redirect_notice& last_notice(const recording_effects& effects)
{
    const auto found = std::find_if(
        effects.sent.rbegin(), effects.sent.rend(),
        [](const auto& sent)
        { return std::holds_alternative<redirect_notice>(sent.second); });
    return std::get<redirect_notice>(found->second);
}

} // namespace

TEST(ownership, packets_of_another_service_or_tag_are_dropped_and_counted)
{
    agent_fixture fixture(3);
    packet_header other = fixture.header(1);
    other.service = service_id(6);
    fixture.handle(packet_arrived{other, {}});
    packet_header past = fixture.header(1);
    past.current = candidate_chain();
    past.current.push_back(
        candidate{agent_fixture::address(0), fixture.core->tag() + 1});
    fixture.handle(packet_arrived{past, {}});
    EXPECT_TRUE(fixture.effects.delivered.empty());
    EXPECT_EQ(fixture.core->counts().wrong_service, 1U);
    EXPECT_EQ(fixture.core->counts().wrong_tag, 1U);
    // The same packets for a flow that the agent has.
    fixture.call(1);
    fixture.handle(packet_arrived{other, {}});
    fixture.handle(packet_arrived{past, {}});
    EXPECT_EQ(fixture.effects.delivered.size(), 1U);
}

// The agent with the lower tag compares; both orders of tags occur.
TEST(ownership, later_of_two_owners_yields)
{
    bool met_lower = false;
    bool met_higher = false;
    for (std::size_t rival = 1; rival < 40; ++rival)
    {
        agent_fixture fixture(40);
        fixture.call(1);
        fixture.deliver_message(claim(fixture, 1, 1h, rival));
        const bool compares =
            fixture.core->tag() < agent_fixture::identity(rival).tag;
        (compares ? met_higher : met_lower) = true;
        EXPECT_EQ(fixture.core->owns(agent_fixture::flow(1)), !compares);
        if (!compares)
        {
            // The other agent compares, and reports the result.
            fixture.deliver_message(
                claim(fixture, 1, owned_flow::decided, rival));
        }
        EXPECT_FALSE(fixture.core->owns(agent_fixture::flow(1)));
        EXPECT_EQ(fixture.effects.upstream_resets.size(), 1U);
        EXPECT_GE(fixture.core->counts().duplicate_owners, 1U);
        fixture.call(1);
        ASSERT_EQ(fixture.effects.forwards.size(), 1U);
        EXPECT_EQ(fixture.effects.forwards.front().to,
                  agent_fixture::address(rival));
    }
    EXPECT_TRUE(met_lower);
    EXPECT_TRUE(met_higher);
}

TEST(ownership, earlier_of_two_owners_answers_the_claim)
{
    agent_fixture fixture(3);
    fixture.call(1);
    fixture.advance(1min);
    fixture.deliver_message(claim(fixture, 1, 1s));
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(1)));
    const redirect_notice& answer = last_notice(fixture.effects);
    EXPECT_EQ(answer.receiver, agent_fixture::identity(1).tag);
    EXPECT_EQ(answer.owner, agent_fixture::identity(0));
}

TEST(ownership, redirect_ends_by_withdrawal_or_expiry)
{
    agent_fixture fixture(3);
    fixture.deliver_message(claim(fixture, 1, 1s));
    fixture.deliver_message(claim(fixture, 2, 1s));
    fixture.call(1);
    fixture.call(2);
    EXPECT_EQ(fixture.effects.forwards.size(), 2U);
    redirect_notice withdrawal = claim(fixture, 1, 0s);
    withdrawal.lifetime = 0s;
    fixture.deliver_message(withdrawal);
    fixture.call(1);
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(1)));
    fixture.advance(11min);
    EXPECT_EQ(fixture.core->redirects(), 0U);
    fixture.call(2);
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(2)));
}

// The owner that a redirect names does not know the flow: its packet returns,
// and the flow is placed again.
TEST(ownership, stale_redirect_is_erased_when_its_packet_returns)
{
    agent_fixture fixture(3);
    fixture.deliver_message(claim(fixture, 1, 1s));
    fixture.call(1);
    ASSERT_EQ(fixture.effects.forwards.size(), 1U);
    packet_header back = fixture.effects.forwards.front().header;
    back.position = 0;
    ++back.hops;
    fixture.handle(packet_arrived{back, {}});
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(1)));
}

TEST(ownership, redirects_are_rate_limited_and_most_active_flows_come_first)
{
    agent_fixture fixture(1);
    constexpr std::uint16_t flows = 1000;
    for (std::uint16_t number = 0; number < flows; ++number)
    {
        fixture.call(number);
        fixture.now += 2ms;
    }
    fixture.advance(5s);
    fixture.call(7);
    auto view = std::make_shared<service_view>();
    view->declared.id = service_id(5);
    for (std::size_t i = 1; i < 4; ++i)
    {
        view->members.push_back(agent_fixture::member(i));
    }
    fixture.effects.sent.clear();
    fixture.handle(view_changed{view});
    fixture.advance(100ms);
    std::size_t told = 0;
    bool has_active = false;
    for (const auto& sent : fixture.effects.sent)
    {
        if (const auto* notice = std::get_if<redirect_notice>(&sent.second))
        {
            told += notice->flows.size();
            has_active = has_active ||
                         notice->flows.front().flow == agent_fixture::flow(7);
            EXPECT_LE(notice->flows.size(), redirect_notice::max_flows);
        }
    }
    EXPECT_LE(told, 257U);
    EXPECT_GE(told, 250U);
    EXPECT_TRUE(has_active);
    fixture.advance(1s);
    EXPECT_EQ(fixture.core->counts().redirects_published, 2U * flows);
}

// During the adoption time an agent does not adopt flows for resetting packets,
// and while it leaves, it adopts flows of datagrams only if a redirect led to
// it.
TEST(ownership, adoption_excludes_packets_that_cannot_belong_to_an_old_flow)
{
    agent_fixture fixture(3);
    fixture.handle(upstream_survived{});
    fixture.handle(leave_requested{});
    fixture.call(2);
    EXPECT_EQ(fixture.core->flows(), 0U);
    packet_header redirected = fixture.header(3);
    redirected.current = candidate_chain();
    redirected.current.push_back(agent_fixture::identity(1));
    redirected.previous.push_back(agent_fixture::identity(0));
    redirected.position = 1;
    redirected.hops = 1;
    redirected.role = packet_role::resets;
    fixture.handle(packet_arrived{redirected, {}});
    EXPECT_EQ(fixture.core->flows(), 0U);
    redirected.role = packet_role::any;
    fixture.handle(packet_arrived{redirected, {}});
    EXPECT_TRUE(fixture.core->owns(agent_fixture::flow(3)));
    EXPECT_EQ(fixture.core->counts().adopted, 1U);
}

TEST(ownership, older_view_is_ignored)
{
    agent_fixture fixture(3);
    auto newer = std::make_shared<service_view>();
    newer->version = config_version(9);
    newer->declared.id = service_id(5);
    newer->declared.limits.connections = 1;
    newer->members.push_back(agent_fixture::member(0));
    auto older = std::make_shared<service_view>(*newer);
    older->version = config_version(8);
    older->declared.limits.connections = 100;
    fixture.handle(view_changed{newer});
    fixture.handle(view_changed{older});
    fixture.advance(11s);
    fixture.call(1);
    fixture.call(2);
    EXPECT_EQ(fixture.core->flows(), 1U);
    EXPECT_EQ(fixture.effects.refusals.size(), 1U);
}

} // namespace crowlink::test
