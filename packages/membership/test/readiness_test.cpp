#include "fake_cluster.hpp"

// When a control host that has started may publish.

namespace crowlink::test
{

namespace
{

constexpr std::size_t upstreams = 30;

void build(fake_cluster& cluster)
{
    service declared;
    declared.id = service_id(1);
    declared.name = "service";
    cluster.document.services.push_back(declared);
    for (const char* name : {"c0", "c1", "c2"})
    {
        cluster.add_control(name, "p", "r");
    }
    cluster.start_controls();
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        cluster.add_upstream("u" + std::to_string(index), 1, "p", "r");
    }
    cluster.run(std::chrono::seconds(20));
}

bool is_ready(const fake_cluster& cluster, std::size_t index)
{
    return cluster.controls[index].core->observing().ready();
}

} // namespace

// Guards against waiting for the periodic digests, which take one second per
// peer. A host that has started asks all peers at a shorter interval.
TEST(readiness, control_hosts_started_together_become_ready_within_0_7_s)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_cluster cluster(seed);
        build(cluster);
        cluster.start_controls();
        cluster.run(std::chrono::milliseconds(700));
        for (std::size_t index = 0; index < cluster.controls.size(); ++index)
        {
            EXPECT_TRUE(is_ready(cluster, index)) << index << " of " << seed;
        }
    }
}

TEST(readiness,
     restarted_control_host_is_ready_only_with_all_records_of_its_peers)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_cluster cluster(seed);
        build(cluster);
        // Stops all announcers, so that the restarted host gets its records
        // from the other hosts and not from new announcements.
        for (auto& each : cluster.announcers)
        {
            each.core.reset();
        }
        cluster.start_control(1);
        ASSERT_FALSE(is_ready(cluster, 1));
        while (!is_ready(cluster, 1))
        {
            cluster.step();
        }
        EXPECT_EQ(cluster.controls[1].core->observing().living(), upstreams);
    }
}

TEST(readiness,
     control_host_that_hears_no_peer_is_ready_only_after_the_start_grace)
{
    fake_cluster cluster(1);
    build(cluster);
    cluster.network.drop = [](const host_id& from, const host_id& to,
                              const wire::membership_message&)
    {
        return from == host_id("c1") || to == host_id("c1");
    };
    cluster.start_control(1);
    cluster.run(std::chrono::seconds(9));
    EXPECT_FALSE(is_ready(cluster, 1));
    cluster.run(std::chrono::seconds(3));
    EXPECT_TRUE(is_ready(cluster, 1));
}

} // namespace crowlink::test
