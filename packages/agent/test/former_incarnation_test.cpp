#include "agent_fixture.hpp"

#include "crowlink/agent/chain_walk.hpp"
#include "crowlink/agent/forward_opening.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

// The upstream beside the agent has restarted, and other nodes still address
// its former incarnation.
class former_incarnation : public ::testing::Test, public agent_fixture
{
protected:
    former_incarnation() : agent_fixture(3) {}

    static candidate former()
    {
        const upstream_record record = member(0);
        return candidate{
            record.agent,
            tag_of(record.id, incarnation(record.started.value() - 1))};
    }

    packet_header header_for_former(std::uint16_t number,
                                    packet_role role) const
    {
        packet_header sent = header(number);
        sent.role = role;
        sent.current = candidate_chain();
        sent.current.push_back(former());
        return sent;
    }
};

TEST_F(former_incarnation,
       opening_packet_for_it_is_delivered_to_the_present_one)
{
    handle(packet_arrived{header_for_former(1, packet_role::opens), {}});
    EXPECT_EQ(effects.delivered.size(), 1U);
    EXPECT_TRUE(core->owns(flow(1)));
    EXPECT_EQ(core->counts().wrong_tag, 0U);
}

TEST_F(former_incarnation, packet_of_its_flow_starts_an_owner_lookup)
{
    handle(packet_arrived{header_for_former(1, packet_role::continues),
                          {},
                          answer_need::required});
    EXPECT_TRUE(effects.delivered.empty());
    // The owner is looked for at the other agents.
    ASSERT_EQ(effects.forwards.size(), 1U);
    EXPECT_EQ(effects.forwards.front().header.pass, packet_pass::walk);
}

// The upstream returns an opening packet: the next candidate gets it.
TEST_F(former_incarnation,
       returned_opening_packet_is_forwarded_to_the_next_candidate)
{
    packet_header sent = header_for_former(1, packet_role::opens);
    sent.current.push_back(identity(1));
    handle(packet_returned{sent, {}});
    ASSERT_EQ(effects.forwards.size(), 1U);
    EXPECT_EQ(effects.forwards.front().to, address(1));
    EXPECT_TRUE(effects.refusals.empty());
}

TEST_F(former_incarnation, opening_packet_of_another_service_is_forwarded)
{
    packet_header sent = header(1);
    sent.service = service_id(6);
    sent.role = packet_role::opens;
    sent.current.push_back(identity(1));
    handle(packet_arrived{sent, {}});
    EXPECT_TRUE(effects.delivered.empty());
    ASSERT_EQ(effects.forwards.size(), 1U);
    EXPECT_EQ(effects.forwards.front().to, address(1));
}

// Other agents add the former incarnation repeatedly along the packet's path.
// It is visited once, at its own position in the order, and the walk continues
// from there.
TEST_F(former_incarnation, is_visited_once_by_a_walk)
{
    packet_header sent = header_for_former(1, packet_role::continues);
    sent.pass = packet_pass::walk;
    sent.hops = 3;
    for (std::size_t i = 1; i < 3; ++i)
    {
        sent.previous.push_back(identity(i));
    }
    handle(packet_arrived{sent, {}, answer_need::required});
    ASSERT_EQ(effects.forwards.size(), 1U);
    const packet_header& next = effects.forwards.front().header;
    EXPECT_EQ(next.pass, packet_pass::walk);
    EXPECT_EQ(next.current[0], former());
    EXPECT_NE(*internal::candidate_at(next, next.position), former());
}

// The search for an owner need not wait until control reports that the former
// incarnation has ended.
TEST_F(former_incarnation, owner_question_for_it_is_denied)
{
    const candidate asker = identity(1);
    effects.sent.clear();
    deliver_message(
        owner_question{service_id(5), former().tag, asker, {flow(1), flow(2)}});
    ASSERT_EQ(effects.sent.size(), 1U);
    const auto& told = std::get<owner_answer>(effects.sent.front().second);
    EXPECT_EQ(told.sender, former());
    ASSERT_EQ(told.flows.size(), 2U);
    EXPECT_EQ(told.flows[0].state, ownership::none);
    EXPECT_EQ(told.flows[1].state, ownership::none);
}

// The upstream was already running, and the agent, which has just started, does
// not know its incarnation yet: the flow may be there.
TEST_F(former_incarnation,
       owner_question_is_not_answered_while_it_may_be_the_present_one)
{
    handle(upstream_start_reported{time_point(), true, true});
    effects.sent.clear();
    deliver_message(
        owner_question{service_id(5), former().tag, identity(1), {flow(1)}});
    EXPECT_TRUE(effects.sent.empty());
}

// Agents of an upstream that was known by another start, for example one that
// was raised by an observer's refusal, ask for its flows under that identity. A
// denial would reset flows that the upstream serves.
class other_identity : public former_incarnation
{
protected:
    std::vector<owner_answer> ask(std::initializer_list<std::uint16_t> numbers)
    {
        owner_question question{service_id(5), former().tag, identity(1), {}};
        for (const std::uint16_t number : numbers)
        {
            question.flows.push_back(flow(number));
        }
        effects.sent.clear();
        deliver_message(question);
        std::vector<owner_answer> answers;
        for (const auto& [to, message] : effects.sent)
        {
            EXPECT_EQ(to, address(1));
            answers.push_back(std::get<owner_answer>(message));
        }
        return answers;
    }
};

TEST_F(other_identity, owned_flow_is_stated_under_the_present_identity)
{
    call(1);
    ASSERT_TRUE(core->owns(flow(1)));
    const auto answers = ask({1});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].sender, identity(0));
    EXPECT_EQ(answers[0].receiver, identity(1).tag);
    ASSERT_EQ(answers[0].flows.size(), 1U);
    EXPECT_EQ(answers[0].flows[0].flow, stable_hash(flow(1)));
    EXPECT_EQ(answers[0].flows[0].state, ownership::owned);
}

// Each flow gets the answer that holds for it.
TEST_F(other_identity, only_flows_that_are_not_held_are_denied)
{
    call(1);
    const auto answers = ask({2, 1});
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].sender, identity(0));
    ASSERT_EQ(answers[0].flows.size(), 1U);
    EXPECT_EQ(answers[0].flows[0].flow, stable_hash(flow(1)));
    EXPECT_EQ(answers[1].sender, former());
    ASSERT_EQ(answers[1].flows.size(), 1U);
    EXPECT_EQ(answers[1].flows[0].flow, stable_hash(flow(2)));
    EXPECT_EQ(answers[1].flows[0].state, ownership::none);
}

// The agent restarted beside its upstream, which may hold any flow.
TEST_F(other_identity, flow_that_the_upstream_may_hold_is_not_denied)
{
    handle(upstream_survived{false});
    const auto answers = ask({1});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].sender, identity(0));
    EXPECT_EQ(answers[0].flows[0].state, ownership::possible);
}

// Before the start is reported: what is held is stated, nothing is denied.
TEST_F(other_identity, uncertain_incarnation_states_what_it_holds)
{
    handle(upstream_start_reported{time_point(), true, true});
    call(1);
    const auto answers = ask({1, 2});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].sender, identity(0));
    ASSERT_EQ(answers[0].flows.size(), 1U);
    EXPECT_EQ(answers[0].flows[0].state, ownership::owned);
}

// The upstream ended while its agent was down and another one runs under its
// name: its callers must not wait for their own timeouts.
TEST_F(other_identity, flow_of_an_ended_incarnation_is_denied)
{
    handle(upstream_start_reported{time_point(), true, true});
    handle(upstream_start_reported{time_point(), false, false});
    const auto answers = ask({1});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].sender, former());
    EXPECT_EQ(answers[0].flows[0].state, ownership::none);
}

// The upstream took over by its agent returns a flow that it does not hold.
// After that the flow is denied, so that the search ends.
TEST_F(other_identity, returned_flow_is_denied)
{
    handle(upstream_survived{false});
    packet_header sent = header_for_former(1, packet_role::continues);
    handle(packet_returned{sent, {}});
    const auto answers = ask({1});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].sender, former());
    EXPECT_EQ(answers[0].flows[0].state, ownership::none);
}

// A packet of an open flow under the identity that other agents know.
TEST_F(other_identity, packet_of_an_open_flow_is_delivered)
{
    call(1);
    effects.delivered.clear();
    handle(packet_arrived{header_for_former(1, packet_role::continues),
                          {},
                          answer_need::required});
    EXPECT_EQ(effects.delivered, std::vector{flow(1)});
    EXPECT_TRUE(effects.forwards.empty());
}

TEST(forward_opening, skips_other_incarnations_at_the_same_address)
{
    packet_header sent;
    sent.role = packet_role::opens;
    const candidate here = agent_fixture::identity(0);
    sent.current.push_back(here);
    sent.current.push_back(candidate{here.agent, here.tag + 1});
    sent.current.push_back(agent_fixture::identity(2));
    ASSERT_TRUE(forward_opening(sent, here.agent));
    EXPECT_EQ(sent.position, 2);
    EXPECT_EQ(sent.pass, packet_pass::admit);
    EXPECT_FALSE(forward_opening(sent, agent_fixture::address(2)));
}

TEST(forward_opening, ignores_packets_that_open_no_flow)
{
    packet_header sent;
    sent.role = packet_role::continues;
    sent.current.push_back(agent_fixture::identity(0));
    sent.current.push_back(agent_fixture::identity(1));
    EXPECT_FALSE(forward_opening(sent, agent_fixture::address(0)));
}

} // namespace

} // namespace crowlink::test
