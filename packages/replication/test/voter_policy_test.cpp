#include "crowlink/replication/voter_policy.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

using std::chrono::milliseconds;

constexpr duration just_heard = milliseconds(100);
constexpr duration long_silent = milliseconds(60000);

member_status member_of(const char* host, std::uint64_t disk, member_role role,
                        std::optional<duration> age)
{
    return member_status{member{host_id(host), disk_id(disk), role}, 0, age};
}

member_status voter(const char* host, std::uint64_t disk,
                    std::optional<duration> age = just_heard)
{
    return member_of(host, disk, member_role::voter, age);
}

non_member_status non_member(const char* host, std::uint64_t disk,
                             duration age = just_heard)
{
    return non_member_status{host_id(host), disk_id(disk), true, age};
}

replica_status leader_of(std::vector<member_status> members,
                         std::vector<non_member_status> non_members = {})
{
    replica_status status;
    status.role = replica_role::leader;
    status.led_for = long_silent;
    status.members = std::move(members);
    status.non_members = std::move(non_members);
    return status;
}

std::optional<member_change> decide(const replica_status& status,
                                    std::size_t tolerated_failures = 1)
{
    voter_policy_settings settings;
    settings.tolerated_failures = tolerated_failures;
    return voter_policy(settings).decide(status);
}

member_change change(member_change_kind kind, const char* host,
                     std::uint64_t disk)
{
    return member_change{kind, host_id(host), disk_id(disk)};
}

TEST(voter_policy, three_reachable_voters_need_no_change)
{
    EXPECT_FALSE(
        decide(leader_of({voter("a", 1), voter("b", 2), voter("c", 3)})));
}

TEST(voter_policy, only_the_leader_proposes_changes)
{
    replica_status status = leader_of({voter("a", 1)}, {non_member("b", 2)});
    status.role = replica_role::follower;
    EXPECT_FALSE(decide(status));
}

TEST(voter_policy, a_voter_that_lost_its_disk_is_admitted_with_the_new_one)
{
    const auto status =
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3, long_silent)},
                  {non_member("c", 9)});
    EXPECT_EQ(decide(status), change(member_change_kind::add_voter, "c", 9));
}

TEST(voter_policy, an_observer_that_lost_its_disk_stays_an_observer)
{
    const auto status =
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3),
                   member_of("d", 4, member_role::observer, long_silent)},
                  {non_member("d", 9)});
    EXPECT_EQ(decide(status), change(member_change_kind::add_observer, "d", 9));
}

TEST(voter_policy, a_new_host_replaces_a_lost_voter)
{
    const auto before =
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3, long_silent)},
                  {non_member("d", 4)});
    EXPECT_EQ(decide(before), change(member_change_kind::add_voter, "d", 4));
    // The new voter is added before the lost one is removed, so that the number
    // of reachable voters never decreases.
    const auto after = leader_of({voter("a", 1), voter("b", 2),
                                  voter("c", 3, long_silent), voter("d", 4)});
    EXPECT_EQ(decide(after), change(member_change_kind::remove, "c", 0));
}

TEST(voter_policy, a_lost_voter_keeps_its_vote_while_no_host_can_replace_it)
{
    EXPECT_FALSE(decide(
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3, long_silent)})));
}

TEST(voter_policy, a_short_silence_of_a_voter_does_not_replace_it)
{
    const auto status = leader_of(
        {voter("a", 1), voter("b", 2), voter("c", 3, milliseconds(2000))},
        {non_member("d", 4)});
    EXPECT_EQ(decide(status), change(member_change_kind::add_observer, "d", 4));
}

TEST(voter_policy, adds_voters_up_to_the_number_that_the_failures_require)
{
    const auto status =
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3),
                   member_of("d", 4, member_role::observer, just_heard)},
                  {non_member("e", 5)});
    EXPECT_EQ(decide(status, 2), change(member_change_kind::add_voter, "d", 4));
    EXPECT_EQ(decide(status, 1),
              change(member_change_kind::add_observer, "e", 5));
}

TEST(voter_policy, a_host_whose_hello_is_old_is_not_added)
{
    const auto status = leader_of({voter("a", 1), voter("b", 2)},
                                  {non_member("c", 3, long_silent)});
    EXPECT_FALSE(decide(status));
}

TEST(voter_policy, of_several_lost_voters_the_longest_silent_is_removed)
{
    const auto status =
        leader_of({voter("a", 1), voter("b", 2, milliseconds(4000)),
                   voter("c", 3, long_silent), voter("d", 4)});
    EXPECT_EQ(decide(status), change(member_change_kind::remove, "c", 0));
    const auto never = leader_of({voter("a", 1), voter("b", 2, std::nullopt),
                                  voter("c", 3, long_silent), voter("d", 4)});
    EXPECT_EQ(decide(never), change(member_change_kind::remove, "b", 0));
}

// Guards against the removal of a stopped leader's host by the new leader half
// a second after the election.
TEST(voter_policy, a_new_leader_waits_for_answers_before_it_removes_a_voter)
{
    replica_status status =
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3), voter("d", 4)});
    status.members[2].age = std::nullopt;
    status.led_for = milliseconds(500);
    EXPECT_FALSE(decide(status));
    status.led_for = long_silent;
    EXPECT_EQ(decide(status), change(member_change_kind::remove, "c", 0));
}

// A host whose restart takes longer than the loss timeout is removed. When it
// returns with its log it must not stay excluded from the cluster.
TEST(voter_policy,
     a_reachable_host_beyond_the_needed_voters_becomes_an_observer)
{
    non_member_status removed = non_member("d", 4);
    removed.blank = false;
    const auto status =
        leader_of({voter("a", 1), voter("b", 2), voter("c", 3)}, {removed});
    EXPECT_EQ(decide(status), change(member_change_kind::add_observer, "d", 4));
}

TEST(voter_policy, an_observer_that_is_silent_for_long_is_removed)
{
    const auto with = [](duration age)
    {
        return leader_of({voter("a", 1), voter("b", 2), voter("c", 3),
                          member_of("d", 4, member_role::observer, age)});
    };
    EXPECT_FALSE(decide(with(milliseconds(20000))));
    EXPECT_EQ(decide(with(long_silent)),
              change(member_change_kind::remove, "d", 0));
}

} // namespace

} // namespace crowlink::replication
