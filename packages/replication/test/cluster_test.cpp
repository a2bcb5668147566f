#include "fake_cluster.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

bool everywhere(const fake_cluster& cluster, std::uint64_t version)
{
    for (std::size_t i = 0; i < cluster.size(); ++i)
    {
        if (cluster.up(i) && cluster.version(i) != version)
        {
            return false;
        }
    }
    return true;
}

// A leader that can be read, and the changes one after the other through it.
std::size_t settle(fake_cluster& cluster)
{
    EXPECT_TRUE(cluster.run_until(
        [&]
        {
            const auto leader = cluster.leader();
            return leader && cluster.status(*leader).commit > 0 &&
                   cluster.status(*leader).commit ==
                       cluster.status(*leader).last_index;
        }));
    return cluster.leader().value_or(0);
}

void make_versions(fake_cluster& cluster, std::uint64_t count,
                   const std::string& prefix)
{
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const std::size_t leader = settle(cluster);
        const std::uint64_t base = cluster.version(leader);
        const std::string operation = prefix + std::to_string(base);
        cluster.propose(leader, operation, base);
        EXPECT_TRUE(cluster.run_until(
            [&] { return cluster.answer(operation) != nullptr; }));
        EXPECT_EQ(cluster.answer(operation)->result, change_result::applied);
    }
}

TEST(cluster, founds_a_log_with_1_3_and_5_voters)
{
    for (const std::size_t voters : {1U, 3U, 5U})
    {
        fake_cluster cluster(voters, 0, voters);
        make_versions(cluster, 3, "a");
        EXPECT_TRUE(cluster.run_until([&] { return everywhere(cluster, 3); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(cluster, passes_changes_on_to_the_leader)
{
    fake_cluster cluster(3, 0, 7);
    const std::size_t follower = (settle(cluster) + 1) % 3;
    cluster.propose(follower, "a", 0);
    ASSERT_TRUE(
        cluster.run_until([&] { return cluster.answer("a") != nullptr; }));
    EXPECT_EQ(cluster.answer("a")->result, change_result::applied);
}

TEST(cluster, catches_up_by_snapshot)
{
    fake_cluster cluster(3, 0, 8);
    const std::size_t away = (settle(cluster) + 1) % 3;
    cluster.crash(away);
    make_versions(cluster, 40, "a");
    cluster.restart(away);
    EXPECT_TRUE(cluster.run_until([&] { return everywhere(cluster, 40); }));
    EXPECT_GT(cluster.status(away).snapshot_index, 0U);
    EXPECT_EQ(cluster.violation(), "");
}

} // namespace

} // namespace crowlink::replication
