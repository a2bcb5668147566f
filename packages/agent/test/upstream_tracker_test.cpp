#include "crowlink/agent/upstream_tracker.hpp"

#include <gtest/gtest.h>

namespace crowlink
{

namespace
{

using namespace std::chrono_literals;

constexpr duration silence_timeout = 4s;
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

upstream_announcement born(const char* id, std::uint64_t started,
                           std::uint64_t sequence)
{
    upstream_announcement made = told(id, sequence);
    made.started = incarnation(started);
    return made;
}

upstream_withdrawal left(const char* id,
                         std::optional<incarnation> started = std::nullopt)
{
    return upstream_withdrawal{upstream_id(id), started};
}

TEST(upstream_tracker, is_unknown_until_it_announces_itself)
{
    upstream_tracker life(silence_timeout);
    life.tick(start);
    EXPECT_FALSE(life.status());
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    EXPECT_EQ(life.status()->id, upstream_id("i-1"));
    EXPECT_FALSE(life.status()->was_running);
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_tracker, one_that_ran_before_its_agent_may_hold_flows)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 17)));
    EXPECT_TRUE(life.status()->was_running);
}

TEST(upstream_tracker, a_late_announcement_of_an_ended_life_is_refused)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 3)));
    ASSERT_TRUE(life.announce(start + 1s, told("i-2", 0)));
    const auto late = life.announce(start + 2s, told("i-1", 4));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, error_kind::conflict);
    EXPECT_EQ(life.status()->id, upstream_id("i-2"));
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_tracker, one_that_took_its_leave_does_not_come_back)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    life.withdraw(start + 1s, left("i-1"));
    EXPECT_TRUE(life.status()->is_gone);
    EXPECT_FALSE(life.announce(start + 2s, told("i-1", 1)));
    EXPECT_TRUE(life.status()->is_gone);
}

TEST(upstream_tracker, the_leave_of_another_life_changes_nothing)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-2", 0)));
    life.withdraw(start, left("i-1"));
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_tracker, announcements_that_overtook_each_other_leave_the_newest)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    ASSERT_TRUE(life.announce(start, told("i-1", 3, true)));
    ASSERT_TRUE(life.announce(start, told("i-1", 2, false)));
    EXPECT_TRUE(life.status()->leaves);
}

TEST(upstream_tracker, silence_counts_as_its_end_until_it_is_heard_again)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    life.tick(start + silence_timeout - 1ms);
    EXPECT_FALSE(life.status()->is_gone);
    life.tick(start + silence_timeout);
    EXPECT_TRUE(life.status()->is_gone);
    ASSERT_TRUE(life.announce(start + 5s, told("i-1", 1)));
    EXPECT_FALSE(life.status()->is_gone);
    EXPECT_EQ(life.status()->returns, 1U);
    EXPECT_TRUE(life.status()->was_running);
}

TEST(upstream_tracker, one_that_the_agent_found_is_taken_until_it_speaks)
{
    upstream_tracker life(silence_timeout);
    life.found(start, upstream_id("i-1"), true);
    EXPECT_EQ(life.status()->id, upstream_id("i-1"));
    EXPECT_TRUE(life.status()->was_running);
    EXPECT_TRUE(life.status()->leaves);
    ASSERT_TRUE(life.announce(start, told("i-1", 9)));
    EXPECT_FALSE(life.status()->leaves);
    EXPECT_EQ(life.status()->returns, 0U);
}

TEST(upstream_tracker, what_the_agent_found_never_replaces_an_announcement)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-2", 0)));
    life.found(start, upstream_id("i-1"), false);
    EXPECT_EQ(life.status()->id, upstream_id("i-2"));
}

TEST(upstream_tracker, one_whose_port_is_closed_has_ended_until_it_speaks)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 0)));
    life.refused();
    EXPECT_TRUE(life.status()->is_gone);
    ASSERT_TRUE(life.announce(start + 1s, told("i-1", 1)));
    EXPECT_FALSE(life.status()->is_gone);
    EXPECT_EQ(life.status()->returns, 1U);
}

TEST(upstream_tracker, one_that_starts_again_under_its_name_holds_nothing)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, born("i-1", 1000, 41)));
    EXPECT_TRUE(life.status()->was_running);
    ASSERT_TRUE(life.announce(start + 1s, born("i-1", 2000, 1)));
    EXPECT_EQ(life.status()->started, incarnation(2000));
    EXPECT_FALSE(life.status()->was_running);
    EXPECT_FALSE(life.status()->is_gone);
}

TEST(upstream_tracker, the_sequence_of_a_new_life_starts_anew)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, born("i-1", 1000, 41)));
    ASSERT_TRUE(life.announce(start + 1s, born("i-1", 2000, 1)));
    upstream_announcement leaving = born("i-1", 2000, 2);
    leaving.leaves = true;
    ASSERT_TRUE(life.announce(start + 2s, leaving));
    EXPECT_TRUE(life.status()->leaves);
}

TEST(upstream_tracker, a_late_word_of_the_former_life_changes_nothing)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, born("i-1", 1000, 3)));
    ASSERT_TRUE(life.announce(start + 1s, born("i-1", 2000, 1)));
    const tracked_upstream before = *life.status();
    const auto late = life.announce(start + 2s, born("i-1", 1000, 4));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, error_kind::conflict);
    life.withdraw(start + 2s, left("i-1", incarnation(1000)));
    EXPECT_EQ(*life.status(), before);
}

TEST(upstream_tracker, one_that_took_its_leave_may_start_again_under_its_name)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, born("i-1", 1000, 3)));
    life.withdraw(start + 1s, left("i-1"));
    EXPECT_FALSE(life.announce(start + 2s, born("i-1", 1000, 4)));
    ASSERT_TRUE(life.announce(start + 3s, born("i-1", 2000, 1)));
    EXPECT_FALSE(life.status()->is_gone);
    EXPECT_FALSE(life.status()->was_running);
}

TEST(upstream_tracker, a_life_that_told_its_start_goes_on_telling_it)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, born("i-1", 1000, 3)));
    const tracked_upstream before = *life.status();
    const auto other = life.announce(start + 1s, told("i-1", 4, true));
    ASSERT_FALSE(other);
    EXPECT_EQ(other.error().kind, error_kind::invalid);
    EXPECT_EQ(*life.status(), before);
}

TEST(upstream_tracker, one_that_the_agent_found_tells_its_start_and_lives_on)
{
    upstream_tracker life(silence_timeout);
    life.found(start, upstream_id("i-1"), false);
    ASSERT_TRUE(life.announce(start + 1s, born("i-1", 1000, 9)));
    EXPECT_EQ(life.status()->started, incarnation(1000));
    EXPECT_TRUE(life.status()->was_running);
    EXPECT_EQ(life.status()->returns, 0U);
}

// After a power failure of all hosts: the upstream started before its agent,
// and its first announcements got no answer.
TEST(upstream_tracker, one_that_has_hardly_spoken_has_just_started)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 4)));
    EXPECT_TRUE(life.status()->was_running);
    EXPECT_TRUE(life.status()->has_just_started());
    EXPECT_EQ(life.status()->first_heard, 4U);
}

TEST(upstream_tracker, one_that_has_spoken_for_long_lived_on)
{
    upstream_tracker life(silence_timeout);
    const std::uint64_t last = tracked_upstream::last_early_sequence;
    ASSERT_TRUE(life.announce(start, told("i-1", last + 1)));
    EXPECT_TRUE(life.status()->was_running);
    EXPECT_FALSE(life.status()->has_just_started());
}

TEST(upstream_tracker,
     one_that_the_agent_found_tells_its_age_with_its_first_word)
{
    upstream_tracker life(silence_timeout);
    life.found(start, upstream_id("i-1"), false);
    EXPECT_FALSE(life.status()->has_just_started());
    ASSERT_TRUE(life.announce(start + 1s, told("i-1", 3)));
    EXPECT_TRUE(life.status()->has_just_started());
    // Later announcements don't change the sequence that was heard first.
    ASSERT_TRUE(life.announce(start + 2s, told("i-1", 30)));
    EXPECT_EQ(life.status()->first_heard, 3U);
}

TEST(upstream_tracker, one_that_was_silent_may_hold_flows_of_any_age)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, told("i-1", 1)));
    life.tick(start + silence_timeout);
    ASSERT_TRUE(life.announce(start + 5s, told("i-1", 2)));
    EXPECT_TRUE(life.status()->was_running);
    EXPECT_FALSE(life.status()->has_just_started());
}

TEST(upstream_tracker, a_refused_word_is_no_sign_of_life)
{
    upstream_tracker life(silence_timeout);
    ASSERT_TRUE(life.announce(start, born("i-1", 1000, 3)));
    EXPECT_FALSE(life.announce(start + 3s, told("i-1", 4)));
    life.tick(start + silence_timeout);
    EXPECT_TRUE(life.status()->is_gone);
}

} // namespace

} // namespace crowlink
