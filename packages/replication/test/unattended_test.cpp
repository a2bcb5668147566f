#include "scenario.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

// Members change here by the voter policy alone.

constexpr std::size_t steps_of(std::size_t seconds)
{
    constexpr std::size_t steps_a_second = 100;
    return seconds * steps_a_second;
}

// The time in which a host that is back must bear the next loss.
constexpr std::size_t repair_steps = steps_of(4);

cluster_rules unattended(std::size_t tolerated_failures = 1)
{
    cluster_rules rules;
    rules.voters.emplace();
    rules.voters->tolerated_failures = tolerated_failures;
    return rules;
}

// By the leader's own log, all of it committed.
bool all_vote(const fake_cluster& cluster, std::size_t voters)
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

void wipe(fake_cluster& cluster, std::size_t host)
{
    cluster.crash(host);
    cluster.run(steps_of(1));
    cluster.lose_disk(host);
    cluster.restart(host);
}

TEST(unattended, each_voter_in_turn_loses_its_disk_and_votes_again_in_time)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 0, seed, unattended());
        make_versions(cluster, 1, "a");
        for (std::size_t host = 0; host < 3; ++host)
        {
            wipe(cluster, host);
            ASSERT_TRUE(cluster.run_until([&] { return all_vote(cluster, 3); },
                                          repair_steps))
                << "seed " << seed << " host " << host;
            make_versions(cluster, 1, "b" + std::to_string(host));
        }
        EXPECT_TRUE(cluster.run_until([&] { return everywhere(cluster, 4); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(unattended, a_lost_disk_and_a_second_one_right_after_the_repair)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 0, seed, unattended());
        make_versions(cluster, 3, "a");
        const std::size_t first = settle(cluster);
        wipe(cluster, first);
        cluster.run(repair_steps);
        const std::size_t second = settle(cluster);
        wipe(cluster, second);
        make_versions(cluster, 1, "b");
        ASSERT_TRUE(cluster.run_until([&] { return everywhere(cluster, 4); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(unattended, a_lost_disk_while_all_others_lose_power)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 0, seed, unattended());
        make_versions(cluster, 2, "a");
        const std::size_t wiped = settle(cluster);
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
        ASSERT_TRUE(cluster.run_until([&] { return all_vote(cluster, 3); }));
        EXPECT_TRUE(cluster.run_until([&] { return everywhere(cluster, 3); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(unattended, a_spare_takes_the_place_of_a_voter_that_is_gone_for_good)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 1, seed, unattended());
        cluster.crash(3);
        make_versions(cluster, 2, "a");
        const std::size_t gone = settle(cluster);
        cluster.crash(gone);
        cluster.run(steps_of(1));
        cluster.restart(3);
        ASSERT_TRUE(cluster.run_until([&] { return all_vote(cluster, 3); },
                                      2 * repair_steps))
            << "seed " << seed;
        // The next loss is borne by the new voters.
        cluster.crash(settle(cluster));
        make_versions(cluster, 1, "b");
        EXPECT_EQ(cluster.violation(), "");
    }
}

// Removed while it was away, it comes back with a log in which it is a member.
TEST(unattended, a_host_that_was_removed_while_away_is_a_member_again)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_cluster cluster(3, 1, seed, unattended());
        make_versions(cluster, 1, "a");
        const std::size_t away = settle(cluster);
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

// Hosts that the settings name, but that are no members, tell others where
// control is: the leader must make itself known to them.
TEST(unattended, a_leader_says_hello_to_hosts_that_are_no_members)
{
    fake_cluster cluster(3, 1, 3);
    settle(cluster);
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

TEST(unattended, five_voters_bear_two_losses_after_growing_from_three)
{
    fake_cluster cluster(3, 2, 5, unattended(2));
    ASSERT_TRUE(cluster.run_until([&] { return all_vote(cluster, 5); }));
    cluster.crash(settle(cluster));
    cluster.crash(settle(cluster));
    make_versions(cluster, 1, "a");
    EXPECT_EQ(cluster.violation(), "");
}

TEST(unattended, a_host_that_lost_its_disk_knows_no_document_to_be_the_newest)
{
    fake_cluster cluster(3, 0, 7, unattended());
    make_versions(cluster, 2, "a");
    const std::size_t away = (settle(cluster) + 1) % 3;
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
    ASSERT_TRUE(cluster.run_until([&] { return everywhere(cluster, 3); }));
    EXPECT_LT(cluster.status(away).document_age, std::chrono::seconds(1));
}

// Each host has, on its own disk, an older version than the one that was
// acknowledged last: what is committed is written down a little later.
TEST(unattended, hosts_that_lost_power_know_no_document_before_a_quorum_does)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        fake_cluster cluster(3, 0, seed, unattended());
        make_versions(cluster, 4, "a");
        for (std::size_t host = 0; host < cluster.size(); ++host)
        {
            cluster.crash(host);
        }
        for (std::size_t host = 0; host < cluster.size(); ++host)
        {
            cluster.restart(host);
        }
        ASSERT_TRUE(cluster.run_until([&] { return everywhere(cluster, 4); }));
        EXPECT_EQ(cluster.violation(), "") << "seed " << seed;
    }
}

} // namespace

} // namespace crowlink::replication
