#include "crowlink/agent/upstream_life.hpp"

#include <gtest/gtest.h>

namespace crowlink
{

namespace
{

using namespace std::chrono_literals;

constexpr duration patience = 4s;
const time_point start{1h};

upstream_announcement told(const char* id, std::uint64_t sequence,
                           bool leaves = false)
{
    upstream_announcement made;
    made.id = upstream_id(id);
    made.service = "hiraman";
    made.sequence = sequence;
    made.leaves = leaves;
    return made;
}

TEST(upstream_life, is_unknown_until_it_announces_itself)
{
    upstream_life life(patience);
    life.tick(start);
    EXPECT_FALSE(life.status());
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    EXPECT_EQ(life.status()->id, upstream_id("i-1"));
    EXPECT_FALSE(life.status()->lived_on);
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_life, one_that_ran_before_its_agent_may_hold_flows)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-1", 17)));
    EXPECT_TRUE(life.status()->lived_on);
}

TEST(upstream_life, a_late_announcement_of_an_ended_life_is_refused)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-1", 3)));
    ASSERT_TRUE(life.announce(start + 1s, told("i-2", 0)));
    const auto late = life.announce(start + 2s, told("i-1", 4));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, error_kind::conflict);
    EXPECT_EQ(life.status()->id, upstream_id("i-2"));
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_life, one_that_took_its_leave_does_not_come_back)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    life.withdraw(start + 1s, upstream_id("i-1"));
    EXPECT_TRUE(life.status()->is_gone);
    EXPECT_FALSE(life.announce(start + 2s, told("i-1", 1)));
    EXPECT_TRUE(life.status()->is_gone);
}

TEST(upstream_life, the_leave_of_another_life_changes_nothing)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-2", 0)));
    life.withdraw(start, upstream_id("i-1"));
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_life, announcements_that_overtook_each_other_leave_the_newest)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    ASSERT_TRUE(life.announce(start, told("i-1", 3, true)));
    ASSERT_TRUE(life.announce(start, told("i-1", 2, false)));
    EXPECT_TRUE(life.status()->leaves);
}

TEST(upstream_life, silence_counts_as_its_end_until_it_is_heard_again)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    life.tick(start + patience - 1ms);
    EXPECT_FALSE(life.status()->is_gone);
    life.tick(start + patience);
    EXPECT_TRUE(life.status()->is_gone);
    ASSERT_TRUE(life.announce(start + 5s, told("i-1", 1)));
    EXPECT_FALSE(life.status()->is_gone);
    EXPECT_EQ(life.status()->returns, 1U);
    EXPECT_TRUE(life.status()->lived_on);
}

TEST(upstream_life, one_that_the_agent_found_is_taken_until_it_speaks)
{
    upstream_life life(patience);
    life.found(start, upstream_id("i-1"), true);
    EXPECT_EQ(life.status()->id, upstream_id("i-1"));
    EXPECT_TRUE(life.status()->lived_on);
    EXPECT_TRUE(life.status()->leaves);
    ASSERT_TRUE(life.announce(start, told("i-1", 9)));
    EXPECT_FALSE(life.status()->leaves);
    EXPECT_EQ(life.status()->returns, 0U);
}

TEST(upstream_life, what_the_agent_found_never_replaces_an_announcement)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-2", 0)));
    life.found(start, upstream_id("i-1"), false);
    EXPECT_EQ(life.status()->id, upstream_id("i-2"));
}

TEST(upstream_life, one_whose_port_is_closed_has_ended_until_it_speaks)
{
    upstream_life life(patience);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    life.refused();
    EXPECT_TRUE(life.status()->is_gone);
    ASSERT_TRUE(life.announce(start + 1s, told("i-1", 1)));
    EXPECT_FALSE(life.status()->is_gone);
    EXPECT_EQ(life.status()->returns, 1U);
}

} // namespace

} // namespace crowlink
