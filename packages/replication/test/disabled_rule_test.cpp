#include "scenario.hpp"

#include <functional>
#include <gtest/gtest.h>

// Disables one rule of the log at a time. The scenario that depends on the rule
// must then end in a violation, and in none with the rule enabled. The rules on
// the end of a lease are covered by leader_lease_test.cpp.
namespace crowlink::replication
{

namespace
{

using scenario = std::function<std::string(cluster_rules, std::uint64_t)>;

constexpr std::uint64_t tries = 100;

std::uint64_t count_violations(const scenario& run, const cluster_rules& rules)
{
    std::uint64_t count = 0;
    for (std::uint64_t seed = 0; seed < tries; ++seed)
    {
        count += run(rules, seed).empty() ? 0 : 1;
    }
    return count;
}

void propose_if_led(fake_cluster& cluster, const std::string& operation)
{
    const auto leader = cluster.leader();
    if (leader)
    {
        cluster.propose(*leader, operation, cluster.version(*leader));
        cluster.run(100);
    }
}

std::string all_hosts_lose_power(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    cluster.run(300);
    propose_if_led(cluster, "a");
    propose_if_led(cluster, "b");
    for (std::size_t host = 0; host < cluster.size(); ++host)
    {
        cluster.crash(host);
    }
    for (std::size_t host = 0; host < cluster.size(); ++host)
    {
        cluster.restart(host);
    }
    cluster.run(400);
    propose_if_led(cluster, "c");
    propose_if_led(cluster, "d");
    return cluster.violation();
}

std::string an_isolated_host_returns(const cluster_rules& rules,
                                     std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    const std::size_t leader = wait_for_leader(cluster);
    const term_number term = cluster.status(leader).term;
    cluster.isolate((leader + 1) % 3);
    cluster.run(1000);
    cluster.heal();
    cluster.run(300);
    return cluster.status(wait_for_leader(cluster)).term == term ? ""
                                                                 : "term rose";
}

std::string an_operation_is_resent(const cluster_rules& rules,
                                   std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    make_versions(cluster, 1, "a");
    cluster.resend(wait_for_leader(cluster), "a0");
    cluster.run(100);
    return cluster.violation();
}

// Two hosts hold a committed change. One is isolated, the other returns with an
// empty disk, and the third, which never had the change, requests votes.
std::string a_disk_is_lost(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    make_versions(cluster, 1, "a");
    const std::size_t leader = wait_for_leader(cluster);
    const std::size_t wiped = (leader + 1) % 3;
    const std::size_t behind = (leader + 2) % 3;
    cluster.isolate(behind);
    make_versions(cluster, 1, "b");
    cluster.lose_disk(wiped);
    cluster.heal();
    cluster.isolate(leader);
    cluster.restart(wiped);
    cluster.run(1000);
    propose_if_led(cluster, "c");
    return cluster.violation();
}

// Two hosts restart at the moment at which the leader is isolated. The leader
// still holds the lease that the two confirmed, and may be read.
std::string voters_restart(const cluster_rules& rules, std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    make_versions(cluster, 1, "a");
    const std::size_t leader = wait_for_leader(cluster);
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

// The leader stalls after it has accepted an order, until a retry of the order
// and then the opposite order have been committed.
std::string an_order_is_overtaken(const cluster_rules& rules,
                                  std::uint64_t seed)
{
    fake_cluster cluster(3, 0, seed, rules);
    const std::size_t leader = wait_for_leader(cluster);
    const auto late = cluster.prepare_order(leader, true);
    (void)cluster.issue_order(leader, true);
    cluster.run(100);
    (void)cluster.issue_order(leader, false);
    cluster.run(100);
    cluster.propose_order(leader, late.value());
    cluster.run(100);
    return cluster.violation();
}

TEST(disabled_rule, orders_without_a_revision_check_are_detected)
{
    cluster_rules disabled_rule;
    disabled_rule.store.check_revision = false;
    EXPECT_EQ(count_violations(an_order_is_overtaken, cluster_rules{}), 0U);
    EXPECT_EQ(count_violations(an_order_is_overtaken, disabled_rule), tries);
}

TEST(disabled_rule, missing_fsync_is_detected)
{
    cluster_rules disabled_rule;
    disabled_rule.sync = false;
    EXPECT_EQ(count_violations(all_hosts_lose_power, cluster_rules{}), 0U);
    EXPECT_GT(count_violations(all_hosts_lose_power, disabled_rule), 0U);
}

TEST(disabled_rule, missing_pre_vote_is_detected)
{
    cluster_rules disabled_rule;
    disabled_rule.replica.pre_vote = false;
    EXPECT_EQ(count_violations(an_isolated_host_returns, cluster_rules{}), 0U);
    EXPECT_GT(count_violations(an_isolated_host_returns, disabled_rule), 0U);
}

TEST(disabled_rule, missing_deduplication_of_operations_is_detected)
{
    cluster_rules disabled_rule;
    disabled_rule.store.deduplicate = false;
    EXPECT_EQ(count_violations(an_operation_is_resent, cluster_rules{}), 0U);
    EXPECT_EQ(count_violations(an_operation_is_resent, disabled_rule), tries);
}

TEST(disabled_rule, votes_of_a_host_that_lost_its_disk_are_detected)
{
    cluster_rules disabled_rule;
    disabled_rule.replica.check_disk = false;
    EXPECT_EQ(count_violations(a_disk_is_lost, cluster_rules{}), 0U);
    EXPECT_GT(count_violations(a_disk_is_lost, disabled_rule), 0U);
}

TEST(disabled_rule, votes_right_after_a_restart_are_detected)
{
    cluster_rules disabled_rule;
    disabled_rule.replica.wait_after_start = false;
    EXPECT_EQ(count_violations(voters_restart, cluster_rules{}), 0U);
    EXPECT_GT(count_violations(voters_restart, disabled_rule), 0U);
}

} // namespace

} // namespace crowlink::replication
