#include "balancer/balancer_role.hpp"
#include "control/balancer_announcement.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint any_port = *endpoint::parse("127.0.0.1:0");

daemon_settings entry_host(port_mode mode, std::optional<double> link_mbps)
{
    daemon_settings made;
    made.host = host_settings{host_id("h"), place_id("p"), region_id("r")};
    made.host.link_mbps = link_mbps;
    made.balancer.emplace();
    made.balancer->mode = mode;
    made.balancer->listen = {any_port};
    made.balancer->tunnel = any_port;
    return made;
}

const std::vector<host_capacity> large_others{
    {host_id("a"), 100}, {host_id("b"), 100}, {host_id("h"), 5}};

// One balancer whose entry hosts and control are given by the test.
class rotation : public testing::Test
{
protected:
    void open(std::optional<double> link_mbps)
    {
        auto opened = balancer_role::open(
            entry_host(port_mode::plain_datagrams, link_mbps), key_ring(),
            m_log);
        ASSERT_TRUE(opened) << to_string(opened.error());
        m_role = std::move(*opened);
    }

    bool is_in_after(duration time)
    {
        const time_point end = m_now + time;
        for (; m_now < end; m_now += milliseconds(50))
        {
            m_role->advance(m_now, m_board);
        }
        return m_role->is_in_rotation();
    }

    log_sink m_log{stderr, log_format::key_value, log_level::error};
    time_point m_now{std::chrono::hours(1)};
    blackboard m_board;
    std::unique_ptr<balancer_role> m_role;
};

TEST_F(rotation, a_small_host_follows_the_list_and_control)
{
    open(5);
    m_board.is_control_current.set(true);
    m_board.entry_hosts.set(large_others);
    EXPECT_TRUE(is_in_after(seconds(2)));
    EXPECT_FALSE(is_in_after(seconds(2)));
    m_board.is_control_current.set(false);
    EXPECT_TRUE(is_in_after(milliseconds(50)));
    m_board.is_control_current.set(true);
    EXPECT_FALSE(is_in_after(seconds(4)));
    m_board.entry_hosts.set({{host_id("a"), 100}, {host_id("h"), 5}});
    // One of two is half of them, but one of the three of the last minute is
    // not.
    EXPECT_TRUE(is_in_after(milliseconds(50)));
}

// Without word from control nothing is sure.
TEST_F(rotation, a_host_that_knows_nothing_is_in)
{
    open(5);
    EXPECT_TRUE(is_in_after(seconds(30)));
    m_board.entry_hosts.set(large_others);
    EXPECT_TRUE(is_in_after(seconds(30)));
}

TEST_F(rotation, a_host_without_the_setting_is_always_in)
{
    open(std::nullopt);
    m_board.is_control_current.set(true);
    m_board.entry_hosts.set(large_others);
    EXPECT_TRUE(is_in_after(seconds(30)));
}

// Agents of flow packets would otherwise treat records of balancers as return
// addresses; without the setting nobody needs these records.
TEST(announced_balancer, is_as_before_without_the_setting)
{
    const endpoint tunnel = *endpoint::parse("127.0.0.1:7000");
    EXPECT_FALSE(announced_balancer(
        entry_host(port_mode::flow_packets, std::nullopt), tunnel));
    const auto plain = announced_balancer(
        entry_host(port_mode::plain_datagrams, std::nullopt), tunnel);
    ASSERT_TRUE(plain);
    balancer_record before;
    before.id = host_id("h");
    before.started = plain->started;
    before.answers = tunnel;
    before.where = place_id("p");
    EXPECT_EQ(*plain, before);
    EXPECT_EQ(to_member(*plain).weight, upstream_record().weight);
    EXPECT_FALSE(announced_balancer(daemon_settings(), tunnel));
}

TEST(announced_balancer, names_the_capacity_of_the_link)
{
    const endpoint tunnel = *endpoint::parse("127.0.0.1:7000");
    for (const port_mode mode :
         {port_mode::flow_packets, port_mode::plain_datagrams})
    {
        const auto found = announced_balancer(entry_host(mode, 4.8), tunnel);
        ASSERT_TRUE(found);
        EXPECT_EQ(found->weight, 5U);
    }
}

} // namespace
} // namespace crowlink::internal
