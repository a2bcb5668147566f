#include "crowlink/agent/silent_member_query.hpp"

#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

using test::agent_fixture;
using namespace std::chrono_literals;

const time_point start{1h};
constexpr std::size_t unlimited_room = 100;
// The wait for members that have not answered ends after this time.
constexpr duration waited = 150ms;

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

class silent_members : public ::testing::Test
{
protected:
    bool add(time_point now, std::uint16_t flow)
    {
        const packet_header header = packet_of(flow);
        const bool is_kept = m_silent_query.add(now, header, {}, m_silent);
        (void)m_silent_query.ask(now, unlimited_room, m_silent);
        return is_kept;
    }

    std::vector<candidate> m_silent{agent_fixture::identity(1),
                                    agent_fixture::identity(2)};
    silent_member_query m_silent_query;
};

} // namespace

TEST_F(silent_members, are_asked_at_once_and_again_until_they_answer)
{
    const packet_header header = packet_of(1);
    ASSERT_TRUE(m_silent_query.add(start, header, {}, m_silent));
    EXPECT_EQ(m_silent_query.ask(start, unlimited_room, m_silent).size(), 2U);
    m_silent_query.denied(hash_of(1), m_silent[0].tag);
    EXPECT_EQ(m_silent_query.ask(start + 50ms, unlimited_room, m_silent).size(),
              1U);
    EXPECT_TRUE(m_silent_query.take_unowned(start + 50ms).empty());
    m_silent_query.denied(hash_of(1), m_silent[1].tag);
    EXPECT_EQ(m_silent_query.take_unowned(start + 50ms).size(), 1U);
}

TEST_F(silent_members, answer_of_the_owner_ends_the_wait)
{
    ASSERT_TRUE(add(start, 1));
    EXPECT_TRUE(m_silent_query.take(hash_of(1)));
    EXPECT_TRUE(m_silent_query.take_unowned(start + waited).empty());
}

TEST_F(silent_members, wait_ends_before_the_caller_retransmits)
{
    ASSERT_TRUE(add(start, 1));
    // A retransmission does not prolong the wait.
    ASSERT_TRUE(add(start + 100ms, 1));
    EXPECT_EQ(m_silent_query.take_unowned(start + waited).size(), 1U);
}

TEST_F(silent_members, unresponsive_ones_do_not_delay_further_flows)
{
    ASSERT_TRUE(add(start, 1));
    EXPECT_EQ(m_silent_query.take_unowned(start + waited).size(), 1U);
    EXPECT_FALSE(add(start + waited, 2));
}

TEST_F(silent_members, unresponsive_ones_are_skipped_with_growing_backoff)
{
    std::size_t waits = 0;
    for (duration passed{}; passed < 10min; passed += 1s)
    {
        waits += add(start + passed, 1) ? 1 : 0;
        (void)m_silent_query.take_unowned(start + passed + waited);
    }
    EXPECT_LE(waits, 8U);
}

TEST_F(silent_members, are_waited_for_again_after_an_answer)
{
    ASSERT_TRUE(add(start, 1));
    (void)m_silent_query.take_unowned(start + waited);
    m_silent_query.note_answer(m_silent[0].tag);
    EXPECT_TRUE(add(start + waited, 2));
}

} // namespace crowlink::internal
