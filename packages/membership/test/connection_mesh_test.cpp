#include "connection_mesh.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

constexpr std::size_t nodes = 300;
constexpr std::size_t hosts = 10;
constexpr double most_over_mean = 1.5;
// Connections at one control host over nodes / control hosts.
constexpr double most_connections = 4.0;
constexpr std::uint64_t tries_per_node_and_second = 20;

class connections_of_a_mesh : public testing::Test
{
protected:
    connections_of_a_mesh() { m_mesh.run(std::chrono::seconds(30)); }

    void expect_shared_out()
    {
        EXPECT_EQ(m_mesh.attached(), nodes);
        EXPECT_LT(m_mesh.busiest(&connection_mesh::streams_at), most_over_mean);
        EXPECT_LT(m_mesh.busiest(&connection_mesh::connections_at),
                  most_connections);
    }

    // Runs until all nodes are attached to hosts that are up.
    duration time_until_attached()
    {
        duration passed{};
        while (m_mesh.attached() < nodes && passed < std::chrono::minutes(1))
        {
            m_mesh.step();
            passed += connection_mesh::step_time;
        }
        return passed;
    }

    connection_mesh m_mesh{nodes, hosts};
};

} // namespace

// Every node starts with three of the ten control hosts in its settings.
TEST_F(connections_of_a_mesh, are_shared_out_after_the_start)
{
    expect_shared_out();
    EXPECT_LT(m_mesh.busiest(&connection_mesh::leases_at), most_over_mean);
}

// A control host that ends or loses power: its nodes go elsewhere, no node is
// left without a stream, and nobody keeps trying to reach it.
TEST_F(connections_of_a_mesh, survive_the_loss_of_a_control_host)
{
    m_mesh.set_up(4, false);
    EXPECT_LE(time_until_attached(), std::chrono::seconds(2));
    m_mesh.run(std::chrono::seconds(20));
    expect_shared_out();
    const std::uint64_t before = m_mesh.tries_at(4);
    m_mesh.run(std::chrono::seconds(30));
    EXPECT_LE(m_mesh.tries_at(4) - before, nodes);
}

TEST_F(connections_of_a_mesh, survive_the_loss_of_half_of_the_control_hosts)
{
    for (std::size_t at = 0; at < hosts / 2; ++at)
    {
        m_mesh.set_up(2 * at, false);
    }
    EXPECT_LE(time_until_attached(), std::chrono::seconds(3));
    EXPECT_EQ(m_mesh.attached(), nodes);
}

// The hosts that return get their share of the nodes again, and not all nodes
// in one step.
TEST_F(connections_of_a_mesh, return_to_control_hosts_that_are_back)
{
    for (std::size_t at = 0; at < hosts / 2; ++at)
    {
        m_mesh.set_up(2 * at, false);
    }
    m_mesh.run(std::chrono::seconds(30));
    m_mesh.start_counting_moves();
    for (std::size_t at = 0; at < hosts / 2; ++at)
    {
        m_mesh.set_up(2 * at, true);
    }
    const subscriber_settings settings;
    m_mesh.run(2 * settings.return_after);
    expect_shared_out();
    EXPECT_LE(m_mesh.most_moves_in_a_second(), nodes / 10);
}

// All control hosts are down for a while: tries do not grow with their number,
// and every node is served soon after they are back.
TEST_F(connections_of_a_mesh, return_after_all_control_hosts_were_down)
{
    for (std::size_t at = 0; at < hosts; ++at)
    {
        m_mesh.set_up(at, false);
    }
    const std::uint64_t before = m_mesh.tries();
    constexpr std::uint64_t seconds = 10;
    m_mesh.run(std::chrono::seconds(seconds));
    EXPECT_LE(m_mesh.tries() - before,
              nodes * seconds * tries_per_node_and_second);
    EXPECT_EQ(m_mesh.attached(), 0U);
    for (std::size_t at = 0; at < hosts; ++at)
    {
        m_mesh.set_up(at, true);
    }
    EXPECT_LE(time_until_attached(), std::chrono::seconds(3));
}

// The only control host that is up is found by all, also by nodes that use
// others.
TEST_F(connections_of_a_mesh, lead_to_the_only_control_host_that_is_up)
{
    for (std::size_t at = 1; at < hosts; ++at)
    {
        m_mesh.set_up(at, false);
    }
    EXPECT_LE(time_until_attached(), std::chrono::seconds(5));
    EXPECT_EQ(m_mesh.attached(), nodes);
}

// Guards against nodes that ask the few hosts of their settings again and again
// while those serve as many as they can.
TEST(connections_at_capacity,
     lead_to_control_hosts_that_the_settings_do_not_name)
{
    for (const std::size_t count : {100U, 400U})
    {
        constexpr std::size_t control = 20;
        connection_mesh mesh(count, control, 2 * count / control);
        mesh.run(std::chrono::seconds(10));
        EXPECT_EQ(mesh.attached(), count);
    }
}

} // namespace crowlink::test
