#include "crowlink/balancer/rotation_policy.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace crowlink
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using capacities = std::map<std::string, std::uint32_t>;

constexpr std::uint64_t seed = 20261204;
constexpr duration step = milliseconds(50);
constexpr duration settle = seconds(3);

// Entry hosts of one data centre, each of which decides from its own list.
class data_centre
{
public:
    // Sets the hosts that exist; all others learn of them at once.
    void set_hosts(const capacities& hosts)
    {
        set_without_news(hosts);
        for (const auto& [name, mbps] : hosts)
        {
            tell(name, hosts);
        }
    }

    // Sets the hosts that exist; nobody learns of it yet.
    void set_without_news(const capacities& hosts)
    {
        std::erase_if(m_running, [&hosts](const auto& each)
                      { return hosts.count(each.first) == 0; });
        for (const auto& [name, mbps] : hosts)
        {
            m_running.try_emplace(name, name);
        }
    }

    // Gives one host a list.
    void tell(const std::string& name, const capacities& hosts)
    {
        std::vector<host_capacity> list;
        for (const auto& [each, mbps] : hosts)
        {
            list.push_back(host_capacity{host_id(each), mbps});
        }
        m_running.at(name).policy.set_hosts(m_now, std::move(list));
    }

    void set_current(const std::string& name, bool is_current)
    {
        m_running.at(name).is_current = is_current;
    }

    // No host may leave within 3 s of any earlier change of its own.
    void run(duration time)
    {
        const time_point end = m_now + time;
        while (m_now < end)
        {
            m_now += step;
            for (auto& [name, each] : m_running)
            {
                const bool was_ready = each.policy.is_ready();
                each.policy.tick(m_now, each.is_current);
                if (each.policy.is_ready() == was_ready)
                {
                    continue;
                }
                if (was_ready)
                {
                    EXPECT_GE(m_now - each.changed_at, settle) << name;
                }
                each.changed_at = m_now;
                ++each.changes;
            }
        }
    }

    std::string ready() const
    {
        std::string names;
        for (const auto& [name, each] : m_running)
        {
            names += each.policy.is_ready() ? name + " " : "";
        }
        return names;
    }

    std::size_t ready_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_running.begin(), m_running.end(),
            [](const auto& each) { return each.second.policy.is_ready(); }));
    }

    int changes(const std::string& name) const
    {
        return m_running.at(name).changes;
    }

private:
    struct host
    {
        explicit host(const std::string& name) : policy(host_id(name)) {}

        rotation_policy policy;
        bool is_current = true;
        time_point changed_at{};
        int changes = 0;
    };

    time_point m_now{std::chrono::hours(1)};
    std::map<std::string, host> m_running;
};

const capacities two_and_two{{"a", 100}, {"b", 100}, {"c", 5}, {"d", 5}};

TEST(rotation_policy, small_hosts_leave_where_half_of_the_hosts_are_large)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    hosts.run(milliseconds(2950));
    EXPECT_EQ(hosts.ready(), "a b c d ");
    hosts.run(milliseconds(100));
    EXPECT_EQ(hosts.ready(), "a b ");
    hosts.run(seconds(120));
    EXPECT_EQ(hosts.ready(), "a b ");
    EXPECT_EQ(hosts.changes("c"), 1);
}

// With a third of the hosts ready the fabric would use all of them again.
TEST(rotation_policy, nobody_leaves_where_fewer_than_half_are_large)
{
    data_centre hosts;
    hosts.set_hosts(
        {{"a", 100}, {"b", 100}, {"c", 5}, {"d", 5}, {"e", 5}, {"f", 5}});
    hosts.run(seconds(120));
    EXPECT_EQ(hosts.ready(), "a b c d e f ");
}

TEST(rotation_policy, nobody_leaves_among_equals)
{
    data_centre hosts;
    hosts.set_hosts({{"a", 100}, {"b", 100}, {"c", 100}, {"d", 100}});
    hosts.run(seconds(120));
    EXPECT_EQ(hosts.ready(), "a b c d ");
}

// Guards the limit of 1.5: 2 * 9 is less than 1.5 * 4 * 3.1 and 2 * 9 is 1.5
// times 4 * 3.
TEST(rotation_policy, leaves_only_for_one_and_a_half_times_the_capacity)
{
    data_centre hosts;
    hosts.set_hosts({{"a", 900}, {"b", 900}, {"c", 310}, {"d", 310}});
    hosts.run(seconds(10));
    EXPECT_EQ(hosts.ready(), "a b c d ");
    hosts.set_hosts({{"a", 900}, {"b", 900}, {"c", 300}, {"d", 300}});
    hosts.run(seconds(10));
    EXPECT_EQ(hosts.ready(), "a b ");
}

// Guards against leaving by the smallest host alone: here three of five carry
// more than four or two of them.
TEST(rotation_policy, chooses_the_number_of_hosts_that_carries_most)
{
    data_centre hosts;
    hosts.set_hosts({{"a", 500}, {"b", 90}, {"c", 90}, {"d", 10}, {"e", 3}});
    hosts.run(seconds(10));
    EXPECT_EQ(hosts.ready(), "a b c ");
}

// Hosts of equal capacity stay or leave together: dropping one of them only
// loses its share.
TEST(rotation_policy, treats_hosts_of_the_same_capacity_alike)
{
    data_centre hosts;
    hosts.set_hosts({{"a", 50}, {"b", 50}, {"c", 50}, {"d", 50}, {"e", 2}});
    hosts.run(seconds(10));
    EXPECT_EQ(hosts.ready(), "a b c d ");
}

// Guards against one of two large hosts carrying everything.
TEST(rotation_policy, small_hosts_return_at_once_when_a_large_one_fails)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    hosts.run(seconds(10));
    ASSERT_EQ(hosts.ready(), "a b ");
    hosts.set_hosts({{"b", 100}, {"c", 5}, {"d", 5}});
    hosts.run(step);
    EXPECT_EQ(hosts.ready(), "b c d ");
    hosts.run(seconds(30));
    EXPECT_EQ(hosts.ready(), "b c d ");
    hosts.set_hosts(two_and_two);
    hosts.run(milliseconds(2950));
    EXPECT_EQ(hosts.ready(), "a b c d ");
    hosts.run(milliseconds(100));
    EXPECT_EQ(hosts.ready(), "a b ");
    EXPECT_EQ(hosts.changes("c"), 3);
}

// The fabric may count hosts that have failed: half of four are two, also when
// three are left. After a minute the three count alone.
TEST(rotation_policy, counts_half_over_the_hosts_of_the_last_minute)
{
    data_centre hosts;
    hosts.set_hosts({{"a", 100}, {"b", 100}, {"c", 100}, {"d", 9}, {"e", 9}});
    hosts.run(seconds(10));
    ASSERT_EQ(hosts.ready(), "a b c ");
    hosts.set_hosts({{"a", 100}, {"b", 100}, {"d", 9}, {"e", 9}});
    hosts.run(seconds(59));
    EXPECT_EQ(hosts.ready(), "a b d e ");
    hosts.run(seconds(2));
    EXPECT_EQ(hosts.ready(), "a b ");
}

TEST(rotation_policy, a_host_that_starts_is_ready_until_it_is_sure)
{
    data_centre hosts;
    hosts.set_hosts({{"a", 100}, {"b", 100}, {"c", 5}});
    hosts.run(seconds(10));
    ASSERT_EQ(hosts.ready(), "a b ");
    // It knows nobody, then the others without itself, then all.
    hosts.set_without_news(two_and_two);
    hosts.run(seconds(10));
    EXPECT_EQ(hosts.ready(), "a b d ");
    hosts.tell("d", {{"a", 100}, {"b", 100}, {"c", 5}});
    hosts.run(seconds(10));
    EXPECT_EQ(hosts.ready(), "a b d ");
    hosts.set_hosts(two_and_two);
    hosts.run(milliseconds(2950));
    EXPECT_EQ(hosts.ready(), "a b d ");
    hosts.run(milliseconds(100));
    EXPECT_EQ(hosts.ready(), "a b ");
}

TEST(rotation_policy, returns_at_once_while_control_is_stale)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    hosts.run(seconds(10));
    ASSERT_EQ(hosts.ready(), "a b ");
    hosts.set_current("c", false);
    hosts.run(step);
    EXPECT_EQ(hosts.ready(), "a b c ");
    hosts.run(seconds(30));
    EXPECT_EQ(hosts.ready(), "a b c ");
    hosts.set_current("c", true);
    hosts.run(milliseconds(2900));
    EXPECT_EQ(hosts.ready(), "a b c ");
    hosts.run(milliseconds(150));
    EXPECT_EQ(hosts.ready(), "a b ");
}

// Guards against flapping where control is stale again and again.
TEST(rotation_policy, stays_where_control_is_stale_every_other_second)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    for (int round = 0; round < 60; ++round)
    {
        hosts.set_current("c", round % 2 == 0);
        hosts.run(seconds(1));
    }
    EXPECT_EQ(hosts.changes("c"), 0);
    EXPECT_EQ(hosts.ready(), "a b c ");
}

TEST(rotation_policy, an_added_host_changes_who_is_needed)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    hosts.run(seconds(10));
    ASSERT_EQ(hosts.ready(), "a b ");
    // Two of five are fewer than half.
    capacities more = two_and_two;
    more["e"] = 5;
    hosts.set_hosts(more);
    hosts.run(step);
    EXPECT_EQ(hosts.ready(), "a b c d e ");
    hosts.run(seconds(30));
    EXPECT_EQ(hosts.ready(), "a b c d e ");
    more["f"] = 100;
    hosts.set_hosts(more);
    hosts.run(seconds(4));
    EXPECT_EQ(hosts.ready(), "a b f ");
    // A change that does not need the small ones keeps them out.
    more["g"] = 100;
    hosts.set_hosts(more);
    hosts.run(step);
    EXPECT_EQ(hosts.ready(), "a b f g ");
    EXPECT_EQ(hosts.changes("c"), 3);
}

// Two hosts with different lists: one still knows a large host that has
// failed. It stays out until its list agrees, and the other one returns.
TEST(rotation_policy, bears_lists_that_differ_for_a_while)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    hosts.run(seconds(10));
    ASSERT_EQ(hosts.ready(), "a b ");
    const capacities left{{"b", 100}, {"c", 5}, {"d", 5}};
    hosts.set_without_news(left);
    hosts.tell("c", left);
    hosts.run(seconds(5));
    EXPECT_EQ(hosts.ready(), "b c ");
    hosts.set_hosts(left);
    hosts.run(step);
    EXPECT_EQ(hosts.ready(), "b c d ");
    hosts.run(seconds(120));
    EXPECT_EQ(hosts.changes("c"), 2);
    EXPECT_EQ(hosts.changes("d"), 2);
}

// Guards against flapping where one host's list alternates each second.
TEST(rotation_policy, stays_where_the_list_keeps_changing)
{
    data_centre hosts;
    hosts.set_hosts(two_and_two);
    for (int round = 0; round < 60; ++round)
    {
        capacities seen = two_and_two;
        if (round % 2 == 0)
        {
            seen.erase("a");
        }
        hosts.tell("c", seen);
        hosts.run(seconds(1));
    }
    EXPECT_EQ(hosts.changes("c"), 0);
}

// Random hosts fail, start and return, and each host learns of that up to 5 s
// late. Checked: no host leaves within 3 s of its last change (in run), and
// once the lists agree at least half of the hosts are ready.
TEST(rotation_policy, keeps_half_of_the_hosts_ready_once_lists_agree)
{
    std::mt19937_64 random(seed);
    const std::uint32_t sizes[] = {3, 5, 10, 100, 1000};
    for (int run = 0; run < 40; ++run)
    {
        data_centre hosts;
        capacities present;
        for (int change = 0; change < 20; ++change)
        {
            const std::string name = fmt::format("h{}", random() % 12);
            if (present.erase(name) == 0 || present.empty())
            {
                present[name] = sizes[random() % std::size(sizes)];
            }
            hosts.set_without_news(present);
            std::multimap<std::uint64_t, std::string> late;
            for (const auto& each : present)
            {
                late.emplace(random() % 100, each.first);
            }
            std::uint64_t at = 0;
            for (const auto& [delay, who] : late)
            {
                hosts.run(step * static_cast<int>(delay - at));
                at = delay;
                hosts.tell(who, present);
            }
            if (random() % 3 != 0)
            {
                continue;
            }
            hosts.run(settle + step);
            EXPECT_GE(hosts.ready_count() * 2, present.size())
                << "run " << run << ", change " << change;
        }
    }
}

} // namespace
} // namespace crowlink
