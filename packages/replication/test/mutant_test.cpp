#include "scenario.hpp"

#include <functional>
#include <gtest/gtest.h>

// Each rule of the log is switched off once: the scenario that needs it must
// then end in a violation, and must not with the rule.
namespace crowlink::replication
{

namespace
{

using scenario = std::function<std::string(cluster_rules, std::uint64_t)>;

constexpr std::uint64_t tries = 20;

std::uint64_t violations(const scenario& run, const cluster_rules& rules)
{
    std::uint64_t count = 0;
    for (std::uint64_t seed = 0; seed < tries; ++seed)
    {
        count += run(rules, seed).empty() ? 0 : 1;
    }
    return count;
}

void try_change(fake_cluster& cluster, const std::string& operation)
{
    const auto leader = cluster.leader();
    if (leader)
    {
        cluster.propose(*leader, operation, cluster.version(*leader));
        cluster.run(100);
    }
}

std::string all_lose_power(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    cluster.run(300);
    try_change(cluster, "a");
    try_change(cluster, "b");
    for (std::size_t host = 0; host < cluster.size(); ++host)
    {
        cluster.crash(host);
    }
    for (std::size_t host = 0; host < cluster.size(); ++host)
    {
        cluster.restart(host);
    }
    cluster.run(400);
    try_change(cluster, "c");
    try_change(cluster, "d");
    return cluster.violation();
}

std::string a_host_returns(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    const std::size_t leader = settle(cluster);
    const term_number term = cluster.status(leader).term;
    cluster.isolate((leader + 1) % 3);
    cluster.run(1000);
    cluster.heal();
    cluster.run(300);
    return cluster.status(settle(cluster)).term == term ? "" : "term rose";
}

std::string an_operation_is_resent(const cluster_rules& rules,
                                   std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    make_versions(cluster, 1, "a");
    cluster.resend(settle(cluster), "a0");
    cluster.run(100);
    return cluster.violation();
}

// The change is held by two hosts. One of them is cut off, the other comes back
// with an empty disk, and the third, which never had the change, asks for
// votes.
std::string a_disk_is_lost(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    make_versions(cluster, 1, "a");
    const std::size_t leader = settle(cluster);
    const std::size_t wiped = (leader + 1) % 3;
    const std::size_t behind = (leader + 2) % 3;
    cluster.isolate(behind);
    make_versions(cluster, 1, "b");
    cluster.lose_disk(wiped);
    cluster.heal();
    cluster.isolate(leader);
    cluster.restart(wiped);
    cluster.run(1000);
    try_change(cluster, "c");
    return cluster.violation();
}

// Two hosts restart at the moment in which the leader is cut off. It holds its
// lease, which the two confirmed, and may be read.
std::string voters_restart(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    make_versions(cluster, 1, "a");
    const std::size_t leader = settle(cluster);
    cluster.isolate(leader);
    for (std::size_t host = 0; host < cluster.size(); ++host)
    {
        if (host != leader)
        {
            cluster.crash(host);
            cluster.restart(host);
        }
    }
    for (int i = 0; i < 20; ++i)
    {
        cluster.run(10);
        const auto next = cluster.leader();
        if (next && *next != leader)
        {
            cluster.propose(*next, "b" + std::to_string(i),
                            cluster.version(*next));
        }
    }
    return cluster.violation();
}

// The leader stands still after it has taken an order, for as long as a resend
// of it and the contrary order take.
std::string an_order_is_overtaken(const cluster_rules& rules,
                                  std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    const std::size_t leader = settle(cluster);
    const auto late = cluster.take_order(leader, true);
    (void)cluster.give_order(leader, true);
    cluster.run(100);
    (void)cluster.give_order(leader, false);
    cluster.run(100);
    cluster.send_order(leader, late.value());
    cluster.run(100);
    return cluster.violation();
}

TEST(mutant, without_a_revision_for_orders_is_caught)
{
    cluster_rules mutant;
    mutant.store.check_revision = false;
    EXPECT_EQ(violations(an_order_is_overtaken, cluster_rules{}), 0U);
    EXPECT_EQ(violations(an_order_is_overtaken, mutant), tries);
}

TEST(mutant, without_fsync_is_caught)
{
    cluster_rules mutant;
    mutant.sync = false;
    EXPECT_EQ(violations(all_lose_power, cluster_rules{}), 0U);
    EXPECT_GT(violations(all_lose_power, mutant), 0U);
}

TEST(mutant, without_pre_vote_is_caught)
{
    cluster_rules mutant;
    mutant.replica.pre_vote = false;
    EXPECT_EQ(violations(a_host_returns, cluster_rules{}), 0U);
    EXPECT_GT(violations(a_host_returns, mutant), 0U);
}

TEST(mutant, without_operation_ids_is_caught)
{
    cluster_rules mutant;
    mutant.store.deduplicate = false;
    EXPECT_EQ(violations(an_operation_is_resent, cluster_rules{}), 0U);
    EXPECT_EQ(violations(an_operation_is_resent, mutant), tries);
}

TEST(mutant, vote_without_memory_is_caught)
{
    cluster_rules mutant;
    mutant.replica.check_disk = false;
    EXPECT_EQ(violations(a_disk_is_lost, cluster_rules{}), 0U);
    EXPECT_GT(violations(a_disk_is_lost, mutant), 0U);
}

TEST(mutant, votes_right_after_a_restart_are_caught)
{
    cluster_rules mutant;
    mutant.replica.wait_after_start = false;
    EXPECT_EQ(violations(voters_restart, cluster_rules{}), 0U);
    EXPECT_GT(violations(voters_restart, mutant), 0U);
}

} // namespace

} // namespace crowlink::replication
