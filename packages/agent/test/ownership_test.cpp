#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

redirect_notice claim(const agent_fixture& one, std::uint16_t number,
                      duration age, std::size_t rival = 1)
{
    redirect_notice made;
    made.service = service_id(5);
    made.receiver = one.core->tag();
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
    agent_fixture one(3);
    packet_header other = one.header(1);
    other.service = service_id(6);
    one.handle(packet_arrived{other, {}});
    packet_header past = one.header(1);
    past.current = candidate_chain();
    past.current.push_back(
        candidate{agent_fixture::address(0), one.core->tag() + 1});
    one.handle(packet_arrived{past, {}});
    EXPECT_TRUE(one.effects.delivered.empty());
    EXPECT_EQ(one.core->counts().wrong_service, 1U);
    EXPECT_EQ(one.core->counts().wrong_tag, 1U);
    // The same packets for a flow that the agent has.
    one.call(1);
    one.handle(packet_arrived{other, {}});
    one.handle(packet_arrived{past, {}});
    EXPECT_EQ(one.effects.delivered.size(), 1U);
}

// The agent with the lower tag compares; both orders of tags occur.
TEST(ownership, of_two_owners_the_later_one_yields)
{
    bool met_lower = false;
    bool met_higher = false;
    for (std::size_t rival = 1; rival < 40; ++rival)
    {
        agent_fixture one(40);
        one.call(1);
        one.tell(claim(one, 1, 1h, rival));
        const bool compares =
            one.core->tag() < agent_fixture::identity(rival).tag;
        (compares ? met_higher : met_lower) = true;
        EXPECT_EQ(one.core->owns(agent_fixture::flow(1)), !compares);
        if (!compares)
        {
            // The other agent compares, and reports the result.
            one.tell(claim(one, 1, owned_flow::decided, rival));
        }
        EXPECT_FALSE(one.core->owns(agent_fixture::flow(1)));
        EXPECT_EQ(one.effects.upstream_resets.size(), 1U);
        EXPECT_GE(one.core->counts().duplicate_owners, 1U);
        one.call(1);
        ASSERT_EQ(one.effects.forwards.size(), 1U);
        EXPECT_EQ(one.effects.forwards.front().to,
                  agent_fixture::address(rival));
    }
    EXPECT_TRUE(met_lower);
    EXPECT_TRUE(met_higher);
}

TEST(ownership, of_two_owners_the_earlier_one_answers_the_claim)
{
    agent_fixture one(3);
    one.call(1);
    one.advance(1min);
    one.tell(claim(one, 1, 1s));
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(1)));
    const redirect_notice& answer = last_notice(one.effects);
    EXPECT_EQ(answer.receiver, agent_fixture::identity(1).tag);
    EXPECT_EQ(answer.owner, agent_fixture::identity(0));
}

TEST(ownership, a_redirect_ends_by_withdrawal_or_lifetime)
{
    agent_fixture one(3);
    one.tell(claim(one, 1, 1s));
    one.tell(claim(one, 2, 1s));
    one.call(1);
    one.call(2);
    EXPECT_EQ(one.effects.forwards.size(), 2U);
    redirect_notice withdrawal = claim(one, 1, 0s);
    withdrawal.lifetime = 0s;
    one.tell(withdrawal);
    one.call(1);
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(1)));
    one.advance(11min);
    EXPECT_EQ(one.core->redirects(), 0U);
    one.call(2);
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(2)));
}

// The owner that a redirect names does not know the flow: its packet returns,
// and the flow is placed again.
TEST(ownership, a_stale_redirect_is_forgotten_when_its_packet_returns)
{
    agent_fixture one(3);
    one.tell(claim(one, 1, 1s));
    one.call(1);
    ASSERT_EQ(one.effects.forwards.size(), 1U);
    packet_header back = one.effects.forwards.front().header;
    back.position = 0;
    ++back.hops;
    one.handle(packet_arrived{back, {}});
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(1)));
}

TEST(ownership, redirects_are_paced_and_the_most_active_flows_come_first)
{
    agent_fixture one(1);
    constexpr std::uint16_t flows = 1000;
    for (std::uint16_t number = 0; number < flows; ++number)
    {
        one.call(number);
        one.now += 2ms;
    }
    one.advance(5s);
    one.call(7);
    auto view = std::make_shared<service_view>();
    view->declared.id = service_id(5);
    for (std::size_t i = 1; i < 4; ++i)
    {
        view->members.push_back(agent_fixture::member(i));
    }
    one.effects.sent.clear();
    one.handle(view_changed{view});
    one.advance(100ms);
    std::size_t told = 0;
    bool has_active = false;
    for (const auto& sent : one.effects.sent)
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
    one.advance(1s);
    EXPECT_EQ(one.core->counts().redirects_published, 2U * flows);
}

// During the adoption time an agent does not adopt flows for resetting packets,
// and while it leaves, it adopts flows of datagrams only if a redirect led to
// it.
TEST(ownership, adoption_leaves_alone_what_can_be_no_old_flow)
{
    agent_fixture one(3);
    one.handle(upstream_survived{});
    one.handle(leave_requested{});
    one.call(2);
    EXPECT_EQ(one.core->flows(), 0U);
    packet_header redirected = one.header(3);
    redirected.current = candidate_chain();
    redirected.current.push_back(agent_fixture::identity(1));
    redirected.previous.push_back(agent_fixture::identity(0));
    redirected.position = 1;
    redirected.hops = 1;
    redirected.role = packet_role::resets;
    one.handle(packet_arrived{redirected, {}});
    EXPECT_EQ(one.core->flows(), 0U);
    redirected.role = packet_role::any;
    one.handle(packet_arrived{redirected, {}});
    EXPECT_TRUE(one.core->owns(agent_fixture::flow(3)));
    EXPECT_EQ(one.core->counts().adopted, 1U);
}

TEST(ownership, an_older_view_is_ignored)
{
    agent_fixture one(3);
    auto newer = std::make_shared<service_view>();
    newer->version = config_version(9);
    newer->declared.id = service_id(5);
    newer->declared.limits.connections = 1;
    newer->members.push_back(agent_fixture::member(0));
    auto older = std::make_shared<service_view>(*newer);
    older->version = config_version(8);
    older->declared.limits.connections = 100;
    one.handle(view_changed{newer});
    one.handle(view_changed{older});
    one.advance(11s);
    one.call(1);
    one.call(2);
    EXPECT_EQ(one.core->flows(), 1U);
    EXPECT_EQ(one.effects.refusals.size(), 1U);
}

} // namespace crowlink::test
