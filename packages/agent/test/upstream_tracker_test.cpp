#include "crowlink/agent/upstream_tracker.hpp"

#include <gtest/gtest.h>

namespace crowlink
{

namespace
{

using namespace std::chrono_literals;

constexpr duration silence_timeout = 4s;
const time_point start{1h};

upstream_announcement announcement(const char* id, std::uint64_t sequence,
                                   bool leaves = false)
{
    upstream_announcement made;
    made.id = upstream_id(id);
    made.service = "hiraman";
    made.sequence = sequence;
    made.leaves = leaves;
    return made;
}

upstream_announcement announcement_with_start(const char* id,
                                              std::uint64_t started,
                                              std::uint64_t sequence)
{
    upstream_announcement made = announcement(id, sequence);
    made.started = incarnation(started);
    return made;
}

upstream_withdrawal
withdrawal(const char* id, std::optional<incarnation> started = std::nullopt)
{
    return upstream_withdrawal{upstream_id(id), started};
}

TEST(upstream_tracker, has_no_status_before_the_first_announcement)
{
    upstream_tracker tracker(silence_timeout);
    tracker.tick(start);
    EXPECT_FALSE(tracker.status());
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 0)));
    EXPECT_EQ(tracker.status()->id, upstream_id("i-1"));
    EXPECT_FALSE(tracker.status()->was_running);
    EXPECT_FALSE(tracker.status()->is_gone);
}

TEST(upstream_tracker, upstream_older_than_its_agent_was_running)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 17)));
    EXPECT_TRUE(tracker.status()->was_running);
}

TEST(upstream_tracker, late_announcement_of_an_ended_incarnation_is_refused)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 3)));
    ASSERT_TRUE(tracker.announce(start + 1s, announcement("i-2", 0)));
    const auto late = tracker.announce(start + 2s, announcement("i-1", 4));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, error_kind::conflict);
    EXPECT_EQ(tracker.status()->id, upstream_id("i-2"));
    EXPECT_FALSE(tracker.status()->is_gone);
}

TEST(upstream_tracker, withdrawn_incarnation_does_not_return)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 0)));
    tracker.withdraw(start + 1s, withdrawal("i-1"));
    EXPECT_TRUE(tracker.status()->is_gone);
    EXPECT_FALSE(tracker.announce(start + 2s, announcement("i-1", 1)));
    EXPECT_TRUE(tracker.status()->is_gone);
}

TEST(upstream_tracker, withdrawal_of_another_upstream_has_no_effect)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-2", 0)));
    tracker.withdraw(start, withdrawal("i-1"));
    EXPECT_FALSE(tracker.status()->is_gone);
}

TEST(upstream_tracker, newest_of_reordered_announcements_wins)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 0)));
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 3, true)));
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 2, false)));
    EXPECT_TRUE(tracker.status()->leaves);
}

TEST(upstream_tracker, silence_counts_as_the_end_until_the_next_announcement)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 0)));
    tracker.tick(start + silence_timeout - 1ms);
    EXPECT_FALSE(tracker.status()->is_gone);
    tracker.tick(start + silence_timeout);
    EXPECT_TRUE(tracker.status()->is_gone);
    ASSERT_TRUE(tracker.announce(start + 5s, announcement("i-1", 1)));
    EXPECT_FALSE(tracker.status()->is_gone);
    EXPECT_EQ(tracker.status()->returns, 1U);
    EXPECT_TRUE(tracker.status()->was_running);
}

TEST(upstream_tracker, found_upstream_is_used_until_its_first_announcement)
{
    upstream_tracker tracker(silence_timeout);
    tracker.found(start, upstream_id("i-1"), true);
    EXPECT_EQ(tracker.status()->id, upstream_id("i-1"));
    EXPECT_TRUE(tracker.status()->was_running);
    EXPECT_TRUE(tracker.status()->leaves);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 9)));
    EXPECT_FALSE(tracker.status()->leaves);
    EXPECT_EQ(tracker.status()->returns, 0U);
}

TEST(upstream_tracker, found_upstream_never_replaces_an_announced_one)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-2", 0)));
    tracker.found(start, upstream_id("i-1"), false);
    EXPECT_EQ(tracker.status()->id, upstream_id("i-2"));
}

TEST(upstream_tracker,
     closed_port_counts_as_the_end_until_the_next_announcement)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 0)));
    tracker.refused();
    EXPECT_TRUE(tracker.status()->is_gone);
    ASSERT_TRUE(tracker.announce(start + 1s, announcement("i-1", 1)));
    EXPECT_FALSE(tracker.status()->is_gone);
    EXPECT_EQ(tracker.status()->returns, 1U);
}

TEST(upstream_tracker, restart_under_the_same_name_holds_no_earlier_flows)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 41)));
    EXPECT_TRUE(tracker.status()->was_running);
    ASSERT_TRUE(
        tracker.announce(start + 1s, announcement_with_start("i-1", 2000, 1)));
    EXPECT_EQ(tracker.status()->started, incarnation(2000));
    EXPECT_FALSE(tracker.status()->was_running);
    EXPECT_FALSE(tracker.status()->is_gone);
}

TEST(upstream_tracker, sequence_restarts_with_a_new_incarnation)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 41)));
    ASSERT_TRUE(
        tracker.announce(start + 1s, announcement_with_start("i-1", 2000, 1)));
    upstream_announcement leaving = announcement_with_start("i-1", 2000, 2);
    leaving.leaves = true;
    ASSERT_TRUE(tracker.announce(start + 2s, leaving));
    EXPECT_TRUE(tracker.status()->leaves);
}

TEST(upstream_tracker, late_messages_of_a_former_incarnation_have_no_effect)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 3)));
    ASSERT_TRUE(
        tracker.announce(start + 1s, announcement_with_start("i-1", 2000, 1)));
    const tracked_upstream before = *tracker.status();
    const auto late =
        tracker.announce(start + 2s, announcement_with_start("i-1", 1000, 4));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, error_kind::conflict);
    tracker.withdraw(start + 2s, withdrawal("i-1", incarnation(1000)));
    EXPECT_EQ(*tracker.status(), before);
}

TEST(upstream_tracker, withdrawn_upstream_may_restart_under_its_name)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 3)));
    tracker.withdraw(start + 1s, withdrawal("i-1"));
    EXPECT_FALSE(
        tracker.announce(start + 2s, announcement_with_start("i-1", 1000, 4)));
    ASSERT_TRUE(
        tracker.announce(start + 3s, announcement_with_start("i-1", 2000, 1)));
    EXPECT_FALSE(tracker.status()->is_gone);
    EXPECT_FALSE(tracker.status()->was_running);
}

TEST(upstream_tracker, start_must_be_repeated_once_announced)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 3)));
    const tracked_upstream before = *tracker.status();
    const auto other =
        tracker.announce(start + 1s, announcement("i-1", 4, true));
    ASSERT_FALSE(other);
    EXPECT_EQ(other.error().kind, error_kind::invalid);
    EXPECT_EQ(*tracker.status(), before);
}

TEST(upstream_tracker,
     found_upstream_keeps_its_incarnation_on_announcing_its_start)
{
    upstream_tracker tracker(silence_timeout);
    tracker.found(start, upstream_id("i-1"), false);
    ASSERT_TRUE(
        tracker.announce(start + 1s, announcement_with_start("i-1", 1000, 9)));
    EXPECT_EQ(tracker.status()->started, incarnation(1000));
    EXPECT_TRUE(tracker.status()->was_running);
    EXPECT_EQ(tracker.status()->returns, 0U);
}

// Without the slots the agent would admit as many requests as the document
// declares for any upstream.
TEST(upstream_tracker, found_upstream_announces_its_slots)
{
    upstream_tracker tracker(silence_timeout);
    tracker.found(start, upstream_id("i-1"), false);
    EXPECT_EQ(tracker.status()->slots, 0U);
    upstream_announcement told = announcement_with_start("i-1", 1000, 9);
    told.slots = 3;
    ASSERT_TRUE(tracker.announce(start + 1s, told));
    EXPECT_EQ(tracker.status()->slots, 3U);
    // A late announcement does not change them.
    told.sequence = 8;
    told.slots = 5;
    ASSERT_TRUE(tracker.announce(start + 2s, told));
    EXPECT_EQ(tracker.status()->slots, 3U);
}

// The upstream ended while its agent was down, and a late message of it comes
// first: the agent must not keep it as living.
TEST(upstream_tracker, late_announcement_before_the_present_one_is_superseded)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 90)));
    ASSERT_TRUE(
        tracker.announce(start + 1s, announcement_with_start("i-1", 2000, 1)));
    EXPECT_EQ(tracker.status()->started, incarnation(2000));
    EXPECT_FALSE(tracker.status()->was_running);
    EXPECT_FALSE(
        tracker.announce(start + 2s, announcement_with_start("i-1", 1000, 91)));
}

// The same where nothing follows: the upstream ends by its silence.
TEST(upstream_tracker, late_announcement_of_an_ended_upstream_ends_by_silence)
{
    upstream_tracker tracker(silence_timeout);
    tracker.found(start, upstream_id("i-1"), false);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 90)));
    tracker.tick(start + silence_timeout);
    EXPECT_TRUE(tracker.status()->is_gone);
}

// Deployments that never report a start: a name of its own stands for each.
TEST(upstream_tracker, found_upstream_without_a_start_keeps_its_incarnation)
{
    upstream_tracker tracker(silence_timeout);
    tracker.found(start, upstream_id("i-1"), false);
    ASSERT_TRUE(tracker.announce(start + 1s, announcement("i-1", 40)));
    EXPECT_FALSE(tracker.status()->started);
    EXPECT_TRUE(tracker.status()->was_running);
    EXPECT_EQ(tracker.status()->returns, 0U);
    EXPECT_EQ(tracker.status()->first_heard, 40U);
}

// After a power failure of all hosts: the upstream started before its agent,
// and its first announcements got no answer.
TEST(upstream_tracker, upstream_with_few_announcements_has_just_started)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 4)));
    EXPECT_TRUE(tracker.status()->was_running);
    EXPECT_TRUE(tracker.status()->has_just_started());
    EXPECT_EQ(tracker.status()->first_heard, 4U);
}

TEST(upstream_tracker, upstream_with_many_announcements_was_running)
{
    upstream_tracker tracker(silence_timeout);
    const std::uint64_t last = tracked_upstream::last_early_sequence;
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", last + 1)));
    EXPECT_TRUE(tracker.status()->was_running);
    EXPECT_FALSE(tracker.status()->has_just_started());
}

TEST(upstream_tracker, first_announcement_of_a_found_upstream_tells_its_age)
{
    upstream_tracker tracker(silence_timeout);
    tracker.found(start, upstream_id("i-1"), false);
    EXPECT_FALSE(tracker.status()->has_just_started());
    ASSERT_TRUE(tracker.announce(start + 1s, announcement("i-1", 3)));
    EXPECT_TRUE(tracker.status()->has_just_started());
    // Later announcements don't change the sequence that was heard first.
    ASSERT_TRUE(tracker.announce(start + 2s, announcement("i-1", 30)));
    EXPECT_EQ(tracker.status()->first_heard, 3U);
}

TEST(upstream_tracker, upstream_that_was_silent_has_not_just_started)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(tracker.announce(start, announcement("i-1", 1)));
    tracker.tick(start + silence_timeout);
    ASSERT_TRUE(tracker.announce(start + 5s, announcement("i-1", 2)));
    EXPECT_TRUE(tracker.status()->was_running);
    EXPECT_FALSE(tracker.status()->has_just_started());
}

TEST(upstream_tracker, refused_announcement_does_not_end_silence)
{
    upstream_tracker tracker(silence_timeout);
    ASSERT_TRUE(
        tracker.announce(start, announcement_with_start("i-1", 1000, 3)));
    EXPECT_FALSE(tracker.announce(start + 3s, announcement("i-1", 4)));
    tracker.tick(start + silence_timeout);
    EXPECT_TRUE(tracker.status()->is_gone);
}

} // namespace

} // namespace crowlink
