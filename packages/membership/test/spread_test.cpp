#include "crowlink/membership.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace crowlink::test
{

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr duration tick = std::chrono::milliseconds(100);
constexpr std::size_t seeds = 3;
constexpr std::uint32_t stream = 7;
const region_id region("r");

using count_by_host = std::map<host_id, std::size_t>;

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

std::vector<observer_info> first_of(const std::vector<observer_info>& hosts)
{
    return {hosts.begin(), hosts.begin() + seeds};
}

double busiest_over_mean(const count_by_host& count, std::size_t hosts)
{
    std::size_t most = 0;
    std::size_t all = 0;
    for (const auto& [host, nodes] : count)
    {
        most = std::max(most, nodes);
        all += nodes;
    }
    return static_cast<double>(most * hosts) / static_cast<double>(all);
}

// A node that starts with the hosts of its settings and is served by the first
// one that it asks.
class started_node
{
public:
    started_node(std::size_t number, const std::vector<observer_info>& hosts)
        : m_hosts(hosts), m_core(settings(number), number, start)
    {
        ask();
        wire::membership_message message;
        auto& part = *message.mutable_part();
        part.set_stream(stream);
        part.set_sequence(1);
        for (const observer_info& each : m_hosts)
        {
            part.add_control_hosts(each.id.value());
        }
        const auto out = m_core.handle(m_now, m_core.source(), message);
        EXPECT_TRUE(out.control_hosts);
        m_first = m_core.source();
        m_core.set_publishers(m_now, m_hosts);
    }

    // Ticks until the node sends an attach request, for a bounded time.
    std::vector<membership_send> ask()
    {
        std::vector<membership_send> sends;
        for (int round = 0; round < 100; ++round)
        {
            m_now += tick;
            sends = m_core.tick(m_now).sends;
            const bool asks =
                std::any_of(sends.begin(), sends.end(),
                            [](const membership_send& each)
                            { return each.message.has_attach_request(); });
            if (asks)
            {
                return sends;
            }
        }
        return sends;
    }

    // Moves to the better publisher, if there is one, as when it is connected.
    std::vector<membership_send> follow()
    {
        std::vector<membership_send> sends;
        if (const auto better = m_core.better_publisher(m_now))
        {
            sends = m_core.move_to(m_now, *better).sends;
        }
        for (membership_send& each : m_core.tick(m_now).sends)
        {
            sends.push_back(std::move(each));
        }
        return sends;
    }

    void refuse()
    {
        wire::membership_message message;
        message.mutable_refused()->set_kept(false);
        m_core.handle(m_now, m_core.source(), message);
    }

    subscriber& core() { return m_core; }
    const host_id& first() const { return m_first; }
    time_point now() const { return m_now; }

private:
    subscriber_settings settings(std::size_t number) const
    {
        subscriber_settings made;
        made.self = host_id(fmt::format("node-{}", number));
        made.region = region;
        made.publishers = first_of(m_hosts);
        made.wants.all_services = true;
        return made;
    }

    std::vector<observer_info> m_hosts;
    time_point m_now = start;
    subscriber m_core;
    host_id m_first;
};

count_by_host streams(std::size_t nodes, std::size_t hosts)
{
    count_by_host count;
    for (std::size_t number = 0; number < nodes; ++number)
    {
        started_node node(number, control_hosts(hosts));
        node.follow();
        ++count[node.core().source()];
    }
    return count;
}

// Homes of the records after the announcers learned of all observers.
count_by_host homes(std::size_t nodes, std::size_t hosts)
{
    const auto all = control_hosts(hosts);
    count_by_host count;
    for (std::size_t number = 0; number < nodes; ++number)
    {
        announcer_settings settings;
        settings.region = region;
        settings.observers = first_of(all);
        upstream_record record;
        record.id = upstream_id(fmt::format("upstream-{}", number));
        announcer tested(settings, record, number, start);
        time_point now = start + settings.start_spread;
        const auto accept = [&]
        {
            wire::membership_message message;
            auto& answer = *message.mutable_answer();
            answer.set_id(record.id.value());
            answer.set_sequence(tested.record().sequence);
            tested.handle(now, tested.home(), message);
        };
        tested.tick(now);
        accept();
        tested.set_observers(all);
        now += settings.renewal_interval;
        tested.tick(now);
        accept();
        EXPECT_TRUE(tested.accepted());
        ++count[tested.home()];
    }
    return count;
}

} // namespace

// Guards against streams that gather at the hosts that the settings of all
// nodes name: three of 10, 20 or 40.
TEST(spread, streams_are_shared_out_among_all_control_hosts)
{
    constexpr double largest = 1.4;
    EXPECT_LT(busiest_over_mean(streams(1'000, 10), 10), largest);
    EXPECT_LT(busiest_over_mean(streams(4'000, 20), 20), largest);
    EXPECT_LT(busiest_over_mean(streams(8'000, 40), 40), largest);
}

// The same for leases.
TEST(spread, leases_are_shared_out_among_all_control_hosts)
{
    constexpr double largest = 1.4;
    EXPECT_LT(busiest_over_mean(homes(1'000, 10), 10), largest);
    EXPECT_LT(busiest_over_mean(homes(4'000, 20), 20), largest);
    EXPECT_LT(busiest_over_mean(homes(8'000, 40), 40), largest);
}

// A small deployment keeps the publishers that it has.
TEST(spread, nodes_of_few_control_hosts_stay)
{
    for (const std::size_t count : {seeds, most_fully_connected})
    {
        for (std::size_t number = 0; number < 50; ++number)
        {
            started_node node(number, control_hosts(count));
            node.follow();
            EXPECT_EQ(node.core().source(), node.first());
            EXPECT_TRUE(node.core().attached());
        }
    }
}

// The publisher that is left must not go on with a snapshot for nobody.
TEST(spread, node_ends_the_stream_that_it_leaves)
{
    for (std::size_t number = 0; number < 50; ++number)
    {
        started_node node(number, control_hosts(10));
        const auto sends = node.follow();
        if (node.core().source() == node.first())
        {
            continue;
        }
        ASSERT_EQ(sends.size(), 2U);
        EXPECT_EQ(sends[0].to, node.first());
        EXPECT_EQ(sends[0].message.ended().stream(), stream);
        EXPECT_EQ(sends[1].to, node.core().source());
        EXPECT_TRUE(sends[1].message.has_attach_request());
    }
}

// Guards against a node without a publisher: one that its first choice refuses
// goes on at once.
TEST(spread, node_that_is_refused_asks_the_next_publisher_at_once)
{
    started_node node(1, control_hosts(10));
    node.follow();
    const host_id preferred = node.core().source();
    node.refuse();
    const auto sends = node.core().tick(node.now()).sends;
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_NE(sends[0].to, preferred);
}

// Guards against tries without end at a preferred host that is down: the node
// stays with its publisher and puts the move off.
TEST(spread, node_stays_while_its_preferred_publisher_is_down)
{
    for (std::size_t number = 0; number < 50; ++number)
    {
        started_node node(number, control_hosts(10));
        while (const auto better = node.core().better_publisher(node.now()))
        {
            node.core().connection_lost(node.now(), *better);
        }
        EXPECT_EQ(node.core().source(), node.first());
        EXPECT_TRUE(node.core().attached());
        const subscriber_settings defaults;
        const time_point soon = node.now() + defaults.return_after / 2 - tick;
        EXPECT_EQ(node.core().better_publisher(soon), std::nullopt);
    }
}

// A control host that joins takes over its share of the nodes and no more:
// others are not moved.
TEST(spread, a_control_host_that_joins_moves_only_the_nodes_that_prefer_it)
{
    constexpr std::size_t nodes = 1'000;
    const auto hosts = control_hosts(11);
    std::size_t moved = 0;
    for (std::size_t number = 0; number < nodes; ++number)
    {
        subscriber_settings settings;
        settings.self = host_id(fmt::format("node-{}", number));
        settings.region = region;
        settings.publishers = {hosts.begin(), hosts.begin() + 10};
        subscriber node(settings, number, start);
        const host_id before = node.order().front();
        settings.publishers = hosts;
        node.set_publishers(start, hosts);
        moved += node.order().front() == before ? 0 : 1;
        EXPECT_TRUE(node.order().front() == before ||
                    node.order().front() == hosts.back().id);
    }
    EXPECT_LT(moved, 2 * nodes / 11);
}

} // namespace crowlink::test
