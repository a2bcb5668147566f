#include "scenario.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <ostream>

// Elections and leadership on disks that are slow, with the default election
// timeout of 1 s and spread of 0.5 s.
namespace crowlink::replication
{

namespace
{

// The delays of a write on each of three hosts, in steps of 10 ms.
struct disk_delays
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    std::uint64_t third = 0;
};

std::ostream& operator<<(std::ostream& out, const disk_delays& delays)
{
    return out << delays.first << ", " << delays.second << ", " << delays.third
               << " steps";
}

class slow_disks : public testing::TestWithParam<disk_delays>
{
protected:
    static void slow_down(fake_cluster& cluster)
    {
        cluster.slow_disk(0, GetParam().first);
        cluster.slow_disk(1, GetParam().second);
        cluster.slow_disk(2, GetParam().third);
    }

    static std::uint64_t slowest()
    {
        return std::max(
            {GetParam().first, GetParam().second, GetParam().third});
    }
};

// Guards against elections that end only where two writes in a row take less
// than the election timeout: the core then has no leader for good.
TEST_P(slow_disks, a_leader_is_elected_however_long_a_write_takes)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        fake_cluster cluster(3, 0, 300 + seed);
        make_versions(cluster, 1, "a");
        ASSERT_TRUE(cluster.run_until([&] { return all_applied(cluster, 1); }));
        const std::size_t lost = wait_for_leader(cluster);
        slow_down(cluster);
        cluster.crash(lost);
        const auto elected = [&]
        {
            const auto leader = cluster.leader();
            return leader && cluster.may_read(*leader);
        };
        // The votes may be split once: two elections, each of four writes in
        // a row and of three election timeouts.
        EXPECT_TRUE(cluster.run_until(elected, 8 * slowest() + 900))
            << "seed " << seed;
        EXPECT_EQ(cluster.violation(), "");
    }
}

// Guards against a core that elects and commits nothing for good: all changes
// are answered, one after the other.
TEST_P(slow_disks, changes_are_committed_however_long_a_write_takes)
{
    fake_cluster cluster(3, 0, 330);
    make_versions(cluster, 1, "a");
    slow_down(cluster);
    make_versions(cluster, 4, "b");
    EXPECT_EQ(cluster.violation(), "");
}

INSTANTIATE_TEST_SUITE_P(
    delays, slow_disks,
    testing::Values(disk_delays{0, 0, 0}, disk_delays{50, 50, 50},
                    disk_delays{80, 80, 80}, disk_delays{120, 120, 120},
                    disk_delays{150, 150, 150}, disk_delays{400, 400, 400},
                    disk_delays{1, 150, 150}, disk_delays{150, 1, 150},
                    disk_delays{150, 150, 1}));

} // namespace

} // namespace crowlink::replication
