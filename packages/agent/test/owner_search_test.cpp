#include "crowlink/agent/owner_search.hpp"

#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

using test::agent_fixture;
using namespace std::chrono_literals;

const time_point start{1h};
constexpr std::size_t unlimited_room = 10'000;

packet_header packet_of(std::uint16_t flow)
{
    packet_header made;
    made.flow = agent_fixture::flow(flow);
    return made;
}

std::uint64_t hash_of(std::uint16_t flow)
{
    return stable_hash(agent_fixture::flow(flow));
}

std::vector<candidate> members(std::size_t count)
{
    std::vector<candidate> made;
    for (std::size_t index = 1; index <= count; ++index)
    {
        made.push_back(agent_fixture::identity(index));
    }
    return made;
}

void deny_all(owner_search& search, std::uint16_t flow,
              const std::vector<candidate>& by)
{
    for (const candidate& each : by)
    {
        search.denied(hash_of(flow), each.tag);
    }
}

TEST(owner_search, asks_every_member_once_per_round)
{
    owner_search search;
    ASSERT_TRUE(search.add(start, packet_of(1), {}, false));
    EXPECT_EQ(search.ask(start, unlimited_room, members(5)).size(), 5U);
    EXPECT_TRUE(search.ask(start + 1ms, unlimited_room, members(5)).empty());
    const time_point next = start + search_times().round;
    EXPECT_EQ(search.ask(next, unlimited_room, members(5)).size(), 5U);
}

TEST(owner_search, asks_only_members_that_have_not_denied_the_flow)
{
    owner_search search;
    search.add(start, packet_of(1), {}, false);
    (void)search.ask(start, unlimited_room, members(5));
    deny_all(search, 1, members(4));
    const auto again =
        search.ask(start + search_times().round, unlimited_room, members(5));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].to, agent_fixture::identity(5));
    EXPECT_TRUE(search.take_denied().empty());
}

TEST(owner_search, flow_denied_by_all_members_has_no_owner)
{
    owner_search search;
    search.add(start, packet_of(1), {}, false);
    search.add(start, packet_of(2), {}, false);
    (void)search.ask(start, unlimited_room, members(5));
    deny_all(search, 1, members(5));
    const auto lost = search.take_denied();
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost[0].header.flow, agent_fixture::flow(1));
    EXPECT_EQ(search.size(), 1U);
}

TEST(owner_search, batches_flows_into_questions)
{
    owner_search search;
    for (std::uint16_t flow = 0; flow < owner_question::max_flows; ++flow)
    {
        search.add(start, packet_of(flow), {}, false);
    }
    const auto asked = search.ask(start, unlimited_room, members(5));
    EXPECT_EQ(asked.size(), 5U);
    EXPECT_EQ(asked[0].flows.size(), owner_question::max_flows);
    search.add(start, packet_of(100), {}, false);
    const time_point next = start + search_times().round;
    EXPECT_EQ(search.ask(next, unlimited_room, members(5)).size(), 10U);
}

TEST(owner_search, continues_a_round_that_exceeded_its_room)
{
    owner_search search;
    search.add(start, packet_of(1), {}, false);
    std::vector<candidate> asked;
    for (int part = 0; part < 3; ++part)
    {
        for (const auto& each : search.ask(start, 2, members(5)))
        {
            asked.push_back(each.to);
        }
    }
    std::sort(asked.begin(), asked.end());
    std::vector<candidate> all = members(5);
    std::sort(all.begin(), all.end());
    EXPECT_EQ(asked, all);
}

TEST(owner_search, asks_joined_members_and_drops_ended_ones)
{
    owner_search search;
    search.add(start, packet_of(1), {}, false);
    (void)search.ask(start, unlimited_room, members(3));
    deny_all(search, 1, members(2));
    // The third member has ended, and a fourth one is known.
    std::vector<candidate> later = members(4);
    later.erase(later.begin() + 2);
    const time_point next = start + search_times().round;
    const auto asked = search.ask(next, unlimited_room, later);
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked[0].to, agent_fixture::identity(4));
    search.denied(hash_of(1), agent_fixture::identity(4).tag);
    EXPECT_EQ(search.take_denied().size(), 1U);
}

TEST(owner_search, ends_when_the_caller_stops_retransmitting)
{
    owner_search search;
    search.add(start, packet_of(1), {}, false);
    search.add(start + 1s, packet_of(2), {}, false);
    const time_point later = start + search_times().lifetime;
    EXPECT_EQ(search.take_unanswered(later).size(), 1U);
    EXPECT_EQ(search.find(hash_of(1)), nullptr);
    EXPECT_NE(search.find(hash_of(2)), nullptr);
}

TEST(owner_search, rejects_flows_beyond_its_limit_but_renews_known_ones)
{
    owner_search search;
    for (std::uint16_t flow = 0; flow < owner_search::max_flows; ++flow)
    {
        ASSERT_TRUE(search.add(start, packet_of(flow), {}, false));
    }
    EXPECT_FALSE(search.add(start, packet_of(9999), {}, false));
    EXPECT_TRUE(search.add(start, packet_of(1), {}, true));
    EXPECT_TRUE(search.find(hash_of(1))->may_be_unserved);
}

} // namespace

} // namespace crowlink::internal
