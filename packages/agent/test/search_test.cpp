#include "searched_service.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

constexpr std::size_t members = searched_service::members;
constexpr std::uint16_t flow_number = 9;
constexpr std::chrono::milliseconds until_repeated(200);

// The number of resets after each of the copies that a caller sends 200, 400
// and 800 ms apart.
std::vector<std::size_t> resets_of_copies(searched_service& service)
{
    std::vector<std::size_t> resets;
    for (int copy = 0; copy < 3; ++copy)
    {
        service.pass(until_repeated * (1 << copy));
        service.send(flow_number);
        resets.push_back(service.resets);
    }
    return resets;
}

// All hosts lost power: the flow's upstream has ended, and the caller would
// wait for its own timeout.
TEST(search, caller_of_a_lost_flow_is_reset_at_once)
{
    searched_service service;
    service.send(flow_number);
    EXPECT_EQ(service.resets, 1U);
    EXPECT_LE(service.forwards, 2 * members);
}

TEST(search, caller_is_reset_after_restarted_agents_tried_their_upstreams)
{
    searched_service service;
    for (std::size_t i = 0; i < members; ++i)
    {
        service.restart(i, true);
    }
    service.pass(std::chrono::seconds(5));
    service.send(flow_number);
    EXPECT_EQ(service.resets, 1U);
    EXPECT_TRUE(service.delivered.empty());
}

// The owner is outside the chains, and its agent has lost its flow table.
TEST(search, finds_the_owner_after_all_agents_restarted)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        service.hold(owner, flow_number);
        for (std::size_t i = 0; i < members; ++i)
        {
            service.restart(i, true);
        }
        service.pass(std::chrono::seconds(5));
        service.send(flow_number);
        EXPECT_EQ(service.resets, 0U);
        EXPECT_EQ(service.delivered, std::vector{owner});
    }
}

TEST(search, caller_is_not_reset_while_a_member_does_not_answer)
{
    for (std::size_t silent = 0; silent < members; ++silent)
    {
        searched_service service;
        service.unreachable_member = silent;
        service.send(flow_number);
        EXPECT_EQ(service.resets, 0U) << silent;
    }
}

TEST(search, caller_is_not_reset_while_members_may_be_unknown)
{
    searched_service service;
    for (std::size_t i = 0; i < members; ++i)
    {
        service.restart(i, false);
    }
    service.send(flow_number);
    EXPECT_EQ(service.resets, 0U);
    // The caller's packet was held: its next retransmission may be far off.
    service.pass(std::chrono::seconds(5));
    EXPECT_EQ(service.resets, 1U);
}

TEST(search, held_packet_reaches_an_owner_that_became_known)
{
    searched_service service;
    service.hold(3, flow_number);
    for (std::size_t i = 0; i < members; ++i)
    {
        service.restart(i, i == 3);
    }
    service.unreachable_member = 3;
    service.send(flow_number);
    service.unreachable_member = members;
    service.send(flow_number);
    service.pass(std::chrono::seconds(5));
    EXPECT_EQ(service.resets, 0U);
    EXPECT_FALSE(service.delivered.empty());
}

TEST(search, silent_member_keeps_its_flow)
{
    searched_service service;
    service.hold(3, flow_number);
    service.restart(3, true);
    service.set_state(3, upstream_state::silent);
    service.send(flow_number);
    EXPECT_EQ(service.delivered, std::vector<std::size_t>{3});
    EXPECT_EQ(service.resets, 0U);
}

TEST(search, caller_is_reset_only_on_retransmission_with_a_silent_member)
{
    searched_service service;
    service.unreachable_member = 3;
    service.set_state(3, upstream_state::silent);
    service.send(flow_number);
    EXPECT_EQ(service.resets, 0U);
    EXPECT_EQ(resets_of_copies(service), (std::vector<std::size_t>{0, 0, 1}));
}

// Control does not hear its agent, and its request takes long.
TEST(search, flow_of_a_silent_member_that_answers_is_not_reset)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        service.hold(owner, flow_number);
        service.restart(owner, true);
        service.set_state(owner, upstream_state::silent);
        for (int copy = 0; copy < 10; ++copy)
        {
            service.send(flow_number);
            service.pass(until_repeated);
        }
        EXPECT_EQ(service.resets, 0U) << owner;
        EXPECT_FALSE(service.delivered.empty()) << owner;
    }
}

// An agent that was stopped by SIGTERM leaves its upstream draining. Nothing
// answers for the upstream until the agent is back, and its caller repeats the
// packet meanwhile.
TEST(search, flow_of_a_stopped_agent_waits_for_its_return)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        service.hold(owner, flow_number);
        service.set_state(owner, upstream_state::draining);
        service.unreachable_member = owner;
        for (int copy = 0; copy < 10; ++copy)
        {
            service.send(flow_number);
            service.pass(until_repeated);
        }
        EXPECT_EQ(service.resets, 0U) << owner;
        service.unreachable_member = members;
        service.restart(owner, true);
        service.send(flow_number);
        service.pass(until_repeated);
        EXPECT_EQ(service.resets, 0U) << owner;
        ASSERT_FALSE(service.delivered.empty()) << owner;
        EXPECT_EQ(service.delivered.back(), owner);
    }
}

// The upstream had just started when its agent restarted. Until the agent is
// announced again, no table names it: a denial for that reason would reset a
// flow that the upstream serves.
TEST(search, flow_of_a_young_upstream_is_found_before_it_is_announced_again)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        service.hold(owner, flow_number);
        service.set_state(owner, upstream_state::draining);
        // Past the settling time: no walk visits it.
        service.pass(std::chrono::seconds(11));
        service.restart(owner, true, true);
        service.pass(std::chrono::seconds(5));
        service.send(flow_number);
        EXPECT_EQ(service.resets, 0U) << owner;
        EXPECT_EQ(service.delivered, std::vector{owner});
    }
}

// It does not return: a caller that goes on repeating its packet is reset 10 s
// after its lease has run out and does not wait for its own timeout.
TEST(search, flow_of_a_stopped_agent_that_does_not_return_is_reset)
{
    searched_service service;
    service.hold(3, flow_number);
    service.set_state(3, upstream_state::draining);
    service.unreachable_member = 3;
    service.send(flow_number);
    service.pass(until_repeated);
    EXPECT_EQ(service.resets, 0U);
    service.set_state(3, upstream_state::silent);
    constexpr int copies_in_ten_seconds = 50;
    for (int copy = 0; copy < copies_in_ten_seconds; ++copy)
    {
        service.send(flow_number);
        EXPECT_EQ(service.resets, 0U) << copy;
        service.pass(until_repeated);
    }
    // One of the next two copies finds that its questions were left for long.
    service.send(flow_number);
    service.pass(until_repeated);
    service.send(flow_number);
    EXPECT_EQ(service.resets, 1U);
    EXPECT_TRUE(service.delivered.empty());
}

TEST(search, flow_of_another_service_is_not_reset)
{
    searched_service service;
    candidate_chain elsewhere;
    elsewhere.push_back(agent_fixture::identity(members + 1));
    service.send(flow_number, elsewhere);
    EXPECT_EQ(service.resets, 0U);
}

TEST(search, questions_per_tick_are_bounded)
{
    searched_service service;
    const std::uint32_t bound = agent_settings().questions_per_tick;
    // With this many flows at least one agent starts more searches than its
    // bound.
    std::uint16_t begun = 0;
    for (std::uint16_t flow = 1; begun <= members * bound; ++flow, ++begun)
    {
        service.send(flow);
    }
    EXPECT_LE(service.resets, members * bound);
    EXPECT_LT(service.resets, begun);
    EXPECT_LE(service.messages, 2 * members * bound);
}

class search_at_size : public ::testing::TestWithParam<std::size_t>
{
};

constexpr std::chrono::seconds long_ago(11);
constexpr std::uint16_t lost_flows = 200;

// All questions are sent within this time, at 64 a tick.
duration time_to_ask(std::size_t count)
{
    constexpr std::size_t questions_a_step = 64;
    constexpr std::chrono::milliseconds step(100);
    return step * (2 + count / questions_a_step);
}

TEST_P(search_at_size, lost_flow_is_reset)
{
    searched_service service(long_ago, GetParam());
    service.send(flow_number);
    service.pass(time_to_ask(GetParam()));
    EXPECT_EQ(service.resets, 1U);
    EXPECT_TRUE(service.delivered.empty());
}

// One packet of each flow, as after a power failure. Forwarding a packet to
// each member in turn took one whole packet for each member and flow: 32,600
// with 163 members.
TEST_P(search_at_size, lost_flows_share_questions)
{
    searched_service service(long_ago, GetParam());
    for (std::uint16_t flow = 1; flow <= lost_flows; ++flow)
    {
        service.send(flow);
    }
    service.pass(3 * time_to_ask(GetParam()));
    EXPECT_EQ(service.resets, lost_flows);
    const std::size_t heads = std::min<std::size_t>(GetParam(), lost_flows);
    const std::size_t rounds = 2;
    const std::size_t questions =
        1 + lost_flows / heads / owner_question::max_flows;
    EXPECT_LE(service.messages, 2 * rounds * questions * heads * GetParam());
    // Each packet follows at most two chains.
    EXPECT_LE(service.forwards, std::size_t{8} * lost_flows);
}

TEST_P(search_at_size, owner_outside_all_chains_gets_the_packet)
{
    searched_service service(long_ago, GetParam());
    const std::size_t owner = GetParam() - 1;
    service.hold(owner, flow_number);
    service.restart(owner, true);
    service.pass(std::chrono::seconds(5));
    service.send(flow_number);
    service.pass(time_to_ask(GetParam()));
    EXPECT_EQ(service.resets, 0U);
    EXPECT_FALSE(service.delivered.empty());
}

// Agents that restart together with their upstreams find them running. Without
// the upstreams' report that they have just started, each flow was tried at all
// of them.
TEST_P(search_at_size, just_started_upstreams_are_tried_only_as_candidates)
{
    searched_service service(long_ago, GetParam());
    for (std::size_t i = 0; i < GetParam(); ++i)
    {
        service.restart(i, true, true);
    }
    service.pass(std::chrono::seconds(5));
    service.send(flow_number);
    service.pass(time_to_ask(GetParam()));
    EXPECT_EQ(service.resets, 1U);
    constexpr std::size_t candidates = 4;
    EXPECT_LE(service.tried, candidates);
}

INSTANTIATE_TEST_SUITE_P(sizes, search_at_size,
                         ::testing::Values(std::size_t{7}, std::size_t{163},
                                           std::size_t{1000}));

} // namespace

} // namespace crowlink::test
