#include "scenario.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

TEST(cluster, bootstraps_a_log_with_1_3_and_5_voters)
{
    for (const std::size_t voters : {1U, 3U, 5U})
    {
        fake_cluster cluster(voters, 0, voters);
        make_versions(cluster, 3, "a");
        EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 3); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(cluster, forwards_changes_to_the_leader)
{
    fake_cluster cluster(3, 0, 7);
    const std::size_t follower = (wait_for_leader(cluster) + 1) % 3;
    cluster.propose(follower, "a", 0);
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.answer("a") != nullptr; }));
    EXPECT_EQ(cluster.answer("a")->result, change_result::applied);
}

TEST(cluster, admits_new_hosts_as_observers_but_no_removed_hosts)
{
    cluster_rules rules;
    rules.admit_observers = true;
    fake_cluster cluster(3, 2, 9, rules);
    make_versions(cluster, 2, "a");
    EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 2); }));
    const std::size_t leader = wait_for_leader(cluster);
    cluster.change_members(
        leader, {member_change_kind::remove, fake_cluster::name(4), disk_id()});
    ASSERT_TRUE(cluster.members_answer());
    cluster.run(500);
    make_versions(cluster, 1, "b");
    cluster.run(100);
    EXPECT_EQ(cluster.version(3), 3U);
    EXPECT_EQ(cluster.version(4), 2U);
    EXPECT_EQ(cluster.status(wait_for_leader(cluster)).members.size(), 4U);
}

TEST(cluster, a_host_that_lags_catches_up_by_snapshot)
{
    fake_cluster cluster(3, 0, 8);
    const std::size_t away = (wait_for_leader(cluster) + 1) % 3;
    cluster.crash(away);
    make_versions(cluster, 40, "a");
    cluster.restart(away);
    EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 40); }));
    EXPECT_GT(cluster.status(away).snapshot_index, 0U);
    EXPECT_EQ(cluster.violation(), "");
}

} // namespace

} // namespace crowlink::replication
