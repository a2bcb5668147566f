#include "crowlink/membership.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <set>

namespace crowlink::test
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(50);
constexpr time_point start{std::chrono::hours(1)};
const region_id region("r");

std::vector<observer_info> control_hosts(std::size_t count)
{
    std::vector<observer_info> hosts;
    for (std::size_t at = 0; at < count; ++at)
    {
        hosts.push_back(
            {host_id(fmt::format("control-{}", at)), place_id("p"), region});
    }
    return hosts;
}

std::vector<host_id> names_of(const std::vector<observer_info>& hosts)
{
    std::vector<host_id> names;
    names.reserve(hosts.size());
    for (const observer_info& each : hosts)
    {
        names.push_back(each.id);
    }
    return names;
}

// One node with its publisher and the home of its record.
struct node
{
    node(std::size_t number, const std::vector<observer_info>& hosts)
        : subscribed(subscriber_of(number, hosts), number, start)
        , announced(announcer_of(hosts), record_of(number), number, start)
        , connections(connection_settings())
    {
        connections.set_hosts(subscribed.order());
    }

    static subscriber_settings
    subscriber_of(std::size_t number, const std::vector<observer_info>& hosts)
    {
        subscriber_settings made;
        made.self = host_id(fmt::format("node-{}", number));
        made.region = region;
        made.publishers = hosts;
        return made;
    }

    static announcer_settings
    announcer_of(const std::vector<observer_info>& hosts)
    {
        announcer_settings made;
        made.region = region;
        made.observers = hosts;
        return made;
    }

    static upstream_record record_of(std::size_t number)
    {
        upstream_record made;
        made.id = upstream_id(fmt::format("upstream-{}", number));
        return made;
    }

    std::set<host_id> used() const
    {
        return {subscribed.source(), announced.home()};
    }

    subscriber subscribed;
    announcer announced;
    control_connections connections;
};

// The most connections that one control host has, over the mean that two
// connections a node make.
double busiest_over_mean(std::size_t nodes, std::size_t hosts)
{
    const std::vector<observer_info> control = control_hosts(hosts);
    std::map<host_id, std::size_t> count;
    for (std::size_t number = 0; number < nodes; ++number)
    {
        node one(number, control);
        std::set<host_id> open;
        for (int round = 0; round < 3; ++round)
        {
            open = one.connections.update(start + round * tick, one.used(), {});
        }
        EXPECT_EQ(open.size(), 2U);
        for (const host_id& each : open)
        {
            ++count[each];
        }
    }
    const auto busiest =
        std::max_element(count.begin(), count.end(),
                         [](const auto& first, const auto& second)
                         { return first.second < second.second; });
    return static_cast<double>(busiest->second * hosts) /
           static_cast<double>(2 * nodes);
}

} // namespace

// Guards against a connection from every node to every control host: 31,400
// connections at each of 20 hosts at the target, over their 16,384 descriptors.
TEST(control_connections, grow_with_the_nodes_of_one_control_host)
{
    constexpr double largest = 1.25;
    EXPECT_LT(busiest_over_mean(1'000, 10), largest);
    EXPECT_LT(busiest_over_mean(4'000, 20), largest);
    EXPECT_LT(busiest_over_mean(8'000, 40), largest);
}

TEST(control_connections, of_a_small_deployment_go_to_all_control_hosts)
{
    const auto hosts = control_hosts(most_fully_connected);
    control_connections tested{connection_settings()};
    tested.set_hosts(names_of(hosts));
    EXPECT_EQ(tested.update(start, {hosts[0].id}, {}).size(), hosts.size());
}

// Guards against tries that grow with the number of control hosts while all of
// them are down.
TEST(control_connections, are_tried_at_a_bounded_rate)
{
    constexpr int seconds = 10;
    // One in each tick, beside those to the two hosts in use.
    constexpr std::uint64_t most_tries = 2 + 20 * seconds;
    for (const std::size_t count : {10U, 20U, 40U})
    {
        const auto hosts = names_of(control_hosts(count));
        control_connections tested{connection_settings()};
        tested.set_hosts(hosts);
        std::set<host_id> lost;
        for (time_point now = start;
             now < start + std::chrono::seconds(seconds); now += tick)
        {
            // Refused at once.
            lost = tested.update(now, {hosts[0], hosts[1]}, lost);
            EXPECT_LE(lost.size(), 3U);
        }
        EXPECT_LE(tested.opened(), most_tries) << count;
    }
}

// Guards against a node that stays with hosts that are down while another one
// serves.
TEST(control_connections, find_the_only_host_that_is_up)
{
    for (const std::size_t count : {10U, 20U, 40U})
    {
        const auto hosts = names_of(control_hosts(count));
        const host_id& up = hosts.back();
        control_connections tested{connection_settings()};
        tested.set_hosts(hosts);
        std::set<host_id> lost;
        std::size_t rounds = 0;
        bool found = false;
        for (; !found && rounds < 10 * count; ++rounds)
        {
            const auto& open =
                tested.update(start + rounds * tick, {hosts[0]}, lost);
            lost = open;
            found = lost.erase(up) != 0;
        }
        EXPECT_TRUE(found);
        EXPECT_LE(rounds, count + 1);
    }
}

// The last messages of a stream and of a lease pass before the connection ends.
TEST(control_connections, are_kept_for_a_while_after_their_last_use)
{
    const auto hosts = names_of(control_hosts(10));
    const connection_settings settings;
    control_connections tested(settings);
    tested.set_hosts(hosts);
    tested.update(start, {hosts[3], hosts[4]}, {});
    const std::set<host_id> next{hosts[5], hosts[6]};
    const time_point soon = start + settings.release_delay - tick;
    EXPECT_EQ(tested.update(soon, next, {}).size(), 4U);
    EXPECT_EQ(tested.update(start + settings.release_delay, next, {}), next);
}

// A used connection is kept while it is down: it is made again by itself.
TEST(control_connections, in_use_are_kept_while_they_are_lost)
{
    const auto hosts = names_of(control_hosts(10));
    control_connections tested{connection_settings()};
    tested.set_hosts(hosts);
    const std::set<host_id> used{hosts[0], hosts[1]};
    tested.update(start, used, {});
    const auto open = tested.update(start + tick, used, {hosts[0]});
    EXPECT_EQ(open.count(hosts[0]), 1U);
    EXPECT_EQ(open.size(), 3U);
    EXPECT_EQ(tested.unreachable(), std::set<host_id>{hosts[0]});
    tested.update(start + 2 * tick, used, {});
    EXPECT_TRUE(tested.unreachable().empty());
}

} // namespace crowlink::test
