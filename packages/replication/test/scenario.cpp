#include "scenario.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

bool all_applied(const fake_cluster& cluster, std::uint64_t version)
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

std::size_t wait_for_leader(fake_cluster& cluster)
{
    EXPECT_TRUE(cluster.run_until(
        [&]
        {
            const auto leader = cluster.leader();
            if (!leader)
            {
                return false;
            }
            const replica_status status = cluster.status(*leader);
            return status.commit > 0 && status.commit == status.last_index;
        }));
    return cluster.leader().value_or(0);
}

void make_versions(fake_cluster& cluster, std::uint64_t count,
                   const std::string& prefix)
{
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const std::size_t leader = wait_for_leader(cluster);
        const std::uint64_t base = cluster.version(leader);
        const std::string operation = prefix + std::to_string(base);
        cluster.propose(leader, operation, base);
        EXPECT_EQ(wait_for(cluster, operation).result, change_result::applied);
    }
}

change_outcome wait_for(fake_cluster& cluster, const std::string& operation)
{
    EXPECT_TRUE(cluster.run_until(
        [&] { return cluster.answer(operation) != nullptr; }));
    const change_outcome* outcome = cluster.answer(operation);
    return outcome == nullptr ? change_outcome{} : *outcome;
}

void admit_voter(fake_cluster& cluster, std::size_t host)
{
    // Long enough for its hello to reach the leader.
    cluster.run(200);
    cluster.change_members(
        wait_for_leader(cluster),
        {member_change_kind::add_voter, fake_cluster::name(host), disk_id()});
    ASSERT_TRUE(cluster.members_answer());
    const host_id name = fake_cluster::name(host);
    EXPECT_TRUE(cluster.run_until(
        [&]
        {
            const replica_status status =
                cluster.status(wait_for_leader(cluster));
            for (const member_status& one : status.members)
            {
                if (one.who.host == name)
                {
                    return one.who.role == member_role::voter;
                }
            }
            return false;
        }));
}

} // namespace crowlink::replication
