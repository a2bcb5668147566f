#include "scenario.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

TEST(cluster_failure, one_of_several_concurrent_changes_is_applied)
{
    fake_cluster cluster(3, 0, 11);
    make_versions(cluster, 2, "a");
    for (std::size_t host = 0; host < 3; ++host)
    {
        cluster.propose(host, "race" + std::to_string(host), 2);
    }
    std::size_t won = 0;
    for (std::size_t host = 0; host < 3; ++host)
    {
        const change_outcome outcome =
            wait_for(cluster, "race" + std::to_string(host));
        EXPECT_EQ(outcome.version, config_version(3));
        won += outcome.result == change_result::applied ? 1 : 0;
    }
    EXPECT_EQ(won, 1U);
    EXPECT_EQ(cluster.violation(), "");
}

TEST(cluster_failure, a_retry_gets_the_first_answer_after_a_leader_change)
{
    fake_cluster cluster(3, 0, 12);
    make_versions(cluster, 1, "a");
    const std::size_t old_leader = wait_for_leader(cluster);
    const change_outcome first = wait_for(cluster, "a0");
    cluster.crash(old_leader);
    make_versions(cluster, 2, "b");
    cluster.restart(old_leader);
    // Long enough for the old leader to hear from the new one.
    cluster.run(200);
    for (std::size_t host = 0; host < 3; ++host)
    {
        cluster.resend(host, "a0");
        EXPECT_EQ(wait_for(cluster, "a0"), first);
    }
    EXPECT_EQ(cluster.version(wait_for_leader(cluster)), 3U);
}

TEST(cluster_failure,
     a_host_that_was_isolated_for_long_causes_no_election_and_no_rollback)
{
    fake_cluster cluster(3, 0, 13);
    make_versions(cluster, 2, "a");
    const std::size_t away = (wait_for_leader(cluster) + 1) % 3;
    ASSERT_TRUE(cluster.run_until([&] { return all_applied(cluster, 2); }));
    const term_number term = cluster.status(away).term;
    cluster.isolate(away);
    make_versions(cluster, 20, "b");
    cluster.run(6000);
    cluster.propose(away, "lost", 2);
    EXPECT_EQ(wait_for(cluster, "lost").result, change_result::unavailable);
    EXPECT_EQ(cluster.version(away), 2U);
    EXPECT_GT(cluster.status(away).age, std::chrono::seconds(50));
    cluster.heal();
    EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 22); }));
    EXPECT_EQ(cluster.status(away).term, term);
    EXPECT_EQ(cluster.violation(), "");
}

TEST(cluster_failure, an_isolated_leader_steps_down_and_commits_no_change)
{
    fake_cluster cluster(3, 0, 14);
    make_versions(cluster, 1, "a");
    const std::size_t old_leader = wait_for_leader(cluster);
    cluster.isolate(old_leader);
    cluster.propose(old_leader, "lost", 1);
    cluster.run(200);
    EXPECT_NE(cluster.status(old_leader).role, replica_role::leader);
    make_versions(cluster, 1, "b");
    cluster.heal();
    EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 2); }));
    EXPECT_NE(wait_for(cluster, "lost").result, change_result::applied);
    EXPECT_EQ(cluster.violation(), "");
}

TEST(cluster_failure, a_leader_that_cannot_receive_or_cannot_send_is_replaced)
{
    for (const bool deaf : {true, false})
    {
        fake_cluster cluster(3, 0, 15);
        const std::size_t old_leader = wait_for_leader(cluster);
        for (std::size_t host = 0; host < 3; ++host)
        {
            cluster.block(deaf ? host : old_leader, deaf ? old_leader : host);
        }
        EXPECT_TRUE(cluster.run_until(
            [&]
            {
                const auto leader = cluster.leader();
                return leader && *leader != old_leader;
            }));
        make_versions(cluster, 1, "a");
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(cluster_failure, a_leader_with_a_failing_disk_reports_it_and_is_replaced)
{
    for (const auto fault :
         {fake_disk::fault::full, fake_disk::fault::read_only,
          fake_disk::fault::sync_fails})
    {
        fake_cluster cluster(3, 0, 16);
        make_versions(cluster, 1, "a");
        const std::size_t broken = wait_for_leader(cluster);
        cluster.disk(broken).set_fault(fault);
        cluster.propose(broken, "b", 1);
        cluster.run(10);
        EXPECT_EQ(cluster.status(broken).role, replica_role::failed);
        EXPECT_NE(cluster.status(broken).storage_error, "");
        cluster.propose(broken, "c", 1);
        EXPECT_EQ(wait_for(cluster, "c").result, change_result::unavailable);
        make_versions(cluster, 2, "d");
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(cluster_failure, a_change_is_answered_only_when_a_quorum_has_synced_it)
{
    fake_cluster cluster(3, 0, 20);
    const std::size_t leader = wait_for_leader(cluster);
    // Long enough for all hosts to store the leader's term.
    cluster.run(50);
    cluster.crash((leader + 1) % 3);
    cluster.slow_disk((leader + 2) % 3, 50);
    cluster.propose(leader, "a", 0);
    cluster.run(40);
    EXPECT_EQ(cluster.answer("a"), nullptr);
    EXPECT_EQ(wait_for(cluster, "a").result, change_result::applied);
}

// Another host may be elected one election timeout, by its own clock, after its
// last contact with the leader; by then the lease must have expired by every
// clock.
TEST(cluster_failure, a_lease_ends_before_another_host_may_be_elected)
{
    std::size_t still_leader = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        fake_cluster cluster(3, 0, 200 + seed);
        const std::size_t leader = wait_for_leader(cluster);
        cluster.run(50);
        EXPECT_TRUE(cluster.may_read(leader));
        cluster.isolate(leader);
        cluster.run(95);
        const replica_role role = cluster.status(leader).role;
        still_leader += role == replica_role::leader ? 1 : 0;
        EXPECT_FALSE(cluster.may_read(leader));
    }
    EXPECT_GT(still_leader, 0U);
}

TEST(cluster_failure,
     no_change_is_lost_if_a_second_disk_is_lost_after_a_replacement)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        fake_cluster cluster(3, 1, 100 + seed);
        make_versions(cluster, 12, "a");
        const std::size_t leader = wait_for_leader(cluster);
        const std::size_t replaced = (leader + 1) % 3;
        const std::size_t second = (leader + 2) % 3;
        cluster.lose_disk(replaced);
        admit_voter(cluster, 3);
        cluster.change_members(wait_for_leader(cluster),
                               {member_change_kind::remove,
                                fake_cluster::name(replaced), disk_id()});
        ASSERT_TRUE(cluster.members_answer());
        const std::size_t now_leads = wait_for_leader(cluster);
        cluster.lose_disk(seed % 2 == 0 ? second : now_leads);
        make_versions(cluster, 1, "b");
        EXPECT_EQ(cluster.version(wait_for_leader(cluster)), 13U);
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(cluster_failure,
     a_host_with_an_empty_disk_has_no_vote_until_it_is_admitted_again)
{
    fake_cluster cluster(3, 0, 17);
    make_versions(cluster, 2, "a");
    const std::size_t leader = wait_for_leader(cluster);
    const std::size_t wiped = (leader + 1) % 3;
    cluster.lose_disk(wiped);
    cluster.restart(wiped);
    cluster.run(300);
    EXPECT_EQ(cluster.version(wiped), 0U);
    admit_voter(cluster, wiped);
    cluster.crash((leader + 2) % 3);
    make_versions(cluster, 1, "b");
    EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 3); }));
    EXPECT_EQ(cluster.violation(), "");
}

TEST(cluster_failure, membership_changes_are_serial_and_keep_a_reachable_quorum)
{
    fake_cluster cluster(3, 2, 18);
    make_versions(cluster, 1, "a");
    const std::size_t leader = wait_for_leader(cluster);
    const auto add = [&](std::size_t host)
    {
        cluster.change_members(leader, {member_change_kind::add_observer,
                                        fake_cluster::name(host), disk_id()});
    };
    add(3);
    ASSERT_TRUE(cluster.members_answer());
    add(4);
    ASSERT_FALSE(cluster.members_answer());
    EXPECT_EQ(cluster.members_answer().error().kind, error_kind::unavailable);
    wait_for_leader(cluster);
    cluster.crash((leader + 1) % 3);
    cluster.run(120);
    cluster.change_members(leader,
                           {member_change_kind::remove,
                            fake_cluster::name((leader + 2) % 3), disk_id()});
    ASSERT_FALSE(cluster.members_answer());
    EXPECT_EQ(cluster.members_answer().error().kind, error_kind::unavailable);
}

TEST(cluster_failure, an_observer_replicates_the_log_and_never_votes)
{
    fake_cluster cluster(3, 1, 19);
    wait_for_leader(cluster);
    cluster.run(200);
    cluster.change_members(
        wait_for_leader(cluster),
        {member_change_kind::add_observer, fake_cluster::name(3), disk_id()});
    make_versions(cluster, 3, "a");
    EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 3); }));
    const std::size_t leader = wait_for_leader(cluster);
    cluster.crash(leader);
    cluster.crash((leader + 1) % 3);
    EXPECT_FALSE(
        cluster.run_until([&] { return cluster.leader().has_value(); }, 1000));
}

} // namespace

} // namespace crowlink::replication
