#include "scenario.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

// In these tests only the voter policy changes the members.

constexpr std::size_t steps_of(std::size_t seconds)
{
    constexpr std::size_t steps_a_second = 100;
    return seconds * steps_a_second;
}

// The time after the return of a host within which the cluster must tolerate
// the next failure.
constexpr std::size_t repair_steps = steps_of(4);

cluster_rules automatic_voters(std::size_t tolerated_failures = 1)
{
    cluster_rules rules;
    rules.voters.emplace();
    rules.voters->tolerated_failures = tolerated_failures;
    return rules;
}

// Whether the leader's log is committed and all its voters, of this number,
// answer.
bool all_voters_answer(const fake_cluster& cluster, std::size_t voters)
{
    const auto leader = cluster.leader();
    if (!leader)
    {
        return false;
    }
    const replica_status status = cluster.status(*leader);
    std::size_t found = 0;
    std::size_t lost = 0;
    for (const member_status& one : status.members)
    {
        const bool answers = one.age && *one.age < std::chrono::seconds(1);
        const bool votes = one.who.role == member_role::voter;
        found += votes && answers ? 1 : 0;
        lost += votes && !answers ? 1 : 0;
    }
    return found == voters && lost == 0 && status.non_members.empty() &&
           status.commit == status.last_index;
}

void lose_disk_and_restart(fake_cluster& cluster, std::size_t host)
{
    cluster.crash(host);
    cluster.run(steps_of(1));
    cluster.lose_disk(host);
    cluster.restart(host);
}

TEST(automatic_voters,
     a_voter_that_lost_its_disk_votes_again_within_the_repair_time)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 0, seed, automatic_voters());
        make_versions(cluster, 1, "a");
        for (std::size_t host = 0; host < 3; ++host)
        {
            lose_disk_and_restart(cluster, host);
            ASSERT_TRUE(cluster.run_until(
                [&] { return all_voters_answer(cluster, 3); }, repair_steps))
                << "seed " << seed << " host " << host;
            make_versions(cluster, 1, "b" + std::to_string(host));
        }
        EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 4); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(automatic_voters,
     survives_a_second_lost_disk_right_after_the_repair_of_the_first)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 0, seed, automatic_voters());
        make_versions(cluster, 3, "a");
        const std::size_t first = wait_for_leader(cluster);
        lose_disk_and_restart(cluster, first);
        cluster.run(repair_steps);
        const std::size_t second = wait_for_leader(cluster);
        lose_disk_and_restart(cluster, second);
        make_versions(cluster, 1, "b");
        ASSERT_TRUE(cluster.run_until([&] { return all_applied(cluster, 4); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(automatic_voters, survives_a_lost_disk_during_a_power_failure_of_all_hosts)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 0, seed, automatic_voters());
        make_versions(cluster, 2, "a");
        const std::size_t wiped = wait_for_leader(cluster);
        for (std::size_t host = 0; host < 3; ++host)
        {
            cluster.crash(host);
        }
        cluster.run(steps_of(1));
        cluster.lose_disk(wiped);
        for (std::size_t host = 0; host < 3; ++host)
        {
            cluster.restart(host);
        }
        make_versions(cluster, 1, "b");
        ASSERT_TRUE(
            cluster.run_until([&] { return all_voters_answer(cluster, 3); }));
        EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 3); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(automatic_voters, a_spare_host_replaces_a_voter_that_does_not_return)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 1, seed, automatic_voters());
        cluster.crash(3);
        make_versions(cluster, 2, "a");
        const std::size_t gone = wait_for_leader(cluster);
        cluster.crash(gone);
        cluster.run(steps_of(1));
        cluster.restart(3);
        ASSERT_TRUE(cluster.run_until(
            [&] { return all_voters_answer(cluster, 3); }, 2 * repair_steps))
            << "seed " << seed;
        // The new voters tolerate the next failure.
        cluster.crash(wait_for_leader(cluster));
        make_versions(cluster, 1, "b");
        EXPECT_EQ(cluster.violation(), "");
    }
}

// A host that is removed while it is down returns with a log in which it still
// is a member.
TEST(automatic_voters, a_host_that_was_removed_while_down_is_admitted_again)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 1, seed, automatic_voters());
        make_versions(cluster, 1, "a");
        const std::size_t away = wait_for_leader(cluster);
        cluster.crash(away);
        const auto is_listed = [&]
        {
            const auto leader = cluster.leader();
            if (!leader)
            {
                return false;
            }
            const auto members = cluster.status(*leader).members;
            return std::any_of(
                members.begin(), members.end(),
                [&](const member_status& one)
                { return one.who.host == fake_cluster::name(away); });
        };
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.leader() && !is_listed(); }));
        cluster.restart(away);
        EXPECT_TRUE(cluster.run_until(is_listed, repair_steps))
            << "seed " << seed;
        make_versions(cluster, 1, "b");
        EXPECT_TRUE(cluster.run_until(
            [&] { return cluster.version(away) == 2; }, repair_steps));
        EXPECT_EQ(cluster.violation(), "");
    }
}

// Hosts that the settings name but that are not members pass on the addresses
// of the control hosts, so that the leader must send them hello.
TEST(automatic_voters, a_leader_sends_hello_to_hosts_that_are_not_members)
{
    fake_cluster cluster(3, 1, 3);
    wait_for_leader(cluster);
    const auto is_known = [&]
    {
        const auto leader = cluster.leader();
        const auto non_members = cluster.status(3).non_members;
        return leader &&
               std::any_of(non_members.begin(), non_members.end(),
                           [&](const non_member_status& one)
                           { return one.host == fake_cluster::name(*leader); });
    };
    EXPECT_TRUE(cluster.run_until(is_known, steps_of(2)));
}

TEST(automatic_voters, three_voters_grow_to_five_and_then_tolerate_two_failures)
{
    fake_cluster cluster(3, 2, 5, automatic_voters(2));
    ASSERT_TRUE(
        cluster.run_until([&] { return all_voters_answer(cluster, 5); }));
    cluster.crash(wait_for_leader(cluster));
    cluster.crash(wait_for_leader(cluster));
    make_versions(cluster, 1, "a");
    EXPECT_EQ(cluster.violation(), "");
}

TEST(automatic_voters,
     a_host_that_lost_its_disk_does_not_regard_its_document_as_current)
{
    fake_cluster cluster(3, 0, 7, automatic_voters());
    make_versions(cluster, 2, "a");
    const std::size_t away = (wait_for_leader(cluster) + 1) % 3;
    cluster.isolate(away);
    make_versions(cluster, 1, "b");
    cluster.run(steps_of(3));
    EXPECT_GT(cluster.status(away).document_age, std::chrono::seconds(2));
    cluster.crash(away);
    cluster.lose_disk(away);
    cluster.restart(away);
    cluster.run(steps_of(1));
    EXPECT_GT(cluster.status(away).document_age, std::chrono::hours(1));
    cluster.heal();
    ASSERT_TRUE(cluster.run_until([&] { return all_applied(cluster, 3); }));
    EXPECT_LT(cluster.status(away).document_age, std::chrono::seconds(1));
}

// The commit index reaches the disks after the entries, so that each host
// starts with an older version than the one that was acknowledged last.
TEST(automatic_voters,
     restarted_hosts_do_not_regard_an_older_document_as_current)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        fake_cluster cluster(3, 0, seed, automatic_voters());
        make_versions(cluster, 4, "a");
        for (std::size_t host = 0; host < cluster.size(); ++host)
        {
            cluster.crash(host);
        }
        for (std::size_t host = 0; host < cluster.size(); ++host)
        {
            cluster.restart(host);
        }
        ASSERT_TRUE(cluster.run_until([&] { return all_applied(cluster, 4); }));
        EXPECT_EQ(cluster.violation(), "") << "seed " << seed;
    }
}

} // namespace

} // namespace crowlink::replication
