#include "mesh.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

mesh_settings defaults()
{
    mesh_settings settings;
    settings.declared.id = service_id(5);
    settings.declared.sharing.cold_start = 0s;
    return settings;
}

void open(mesh& net, std::uint32_t flows)
{
    net.run(12s);
    for (std::uint32_t flow = 0; flow < flows; ++flow)
    {
        net.call(flow);
        net.run(10ms);
    }
    net.run(1s);
}

} // namespace

TEST(failure, upstream_failure_resets_its_callers_and_moves_no_other_flow)
{
    mesh net(defaults());
    open(net, 100);
    const std::size_t dead = net.owners(0).front();
    std::vector<std::size_t> owner;
    for (std::uint32_t flow = 0; flow < 100; ++flow)
    {
        owner.push_back(net.owners(flow).front());
    }
    net.kill_upstream(dead);
    for (int round = 0; round < 100; ++round)
    {
        for (std::uint32_t flow = 0; flow < 100; ++flow)
        {
            if (owner[flow] != dead)
            {
                net.call(flow);
            }
        }
        net.run(200ms);
    }
    for (std::uint32_t flow = 0; flow < 100; ++flow)
    {
        const bool lost = owner[flow] == dead;
        EXPECT_EQ(net.caller(flow).reset, lost ? 1U : 0U) << flow;
        if (lost)
        {
            EXPECT_EQ(net.caller(flow).last_told.outcome,
                      verdict::may_have_run);
        }
    }
    EXPECT_EQ(net.misplaced, 0U);
}

TEST(failure, balancer_failure_breaks_no_flow_and_answers_use_another)
{
    mesh net(defaults());
    open(net, 50);
    net.kill_balancer(0);
    net.run(3s);
    // The upstream sends first on a flow that came through the failed balancer.
    for (std::uint32_t flow = 0; flow < 50; ++flow)
    {
        const auto before = net.caller(flow).answered;
        net.send_from_upstream(flow);
        EXPECT_EQ(net.caller(flow).answered, before + 1) << flow;
    }
    for (int round = 0; round < 20; ++round)
    {
        for (std::uint32_t flow = 0; flow < 50; ++flow)
        {
            net.call(flow);
        }
        net.run(200ms);
    }
    for (std::uint32_t flow = 0; flow < 50; ++flow)
    {
        EXPECT_EQ(net.caller(flow).answered, net.caller(flow).sent + 1) << flow;
    }
    EXPECT_EQ(net.misplaced, 0U);
}

// A host returns with another upstream at the same address: packets of earlier
// flows are not delivered to it, even by nodes that don't know of the change.
TEST(failure, new_upstream_at_the_same_address_gets_no_earlier_packet)
{
    mesh net(defaults());
    open(net, 100);
    const std::size_t dead = net.owners(0).front();
    net.kill_upstream(dead);
    net.start_new_incarnation(dead);
    // Balancers learn of the change within two seconds; until then they use the
    // tag of the earlier incarnation.
    for (int round = 0; round < 20; ++round)
    {
        for (std::uint32_t flow = 0; flow < 100; ++flow)
        {
            net.call(flow);
        }
        net.run(100ms);
    }
    EXPECT_GT(net.total().wrong_tag, 0U);
    EXPECT_EQ(net.misplaced, 0U);
}

TEST(failure, restarted_agent_adopts_the_tcp_flows_of_its_upstream)
{
    mesh net(defaults());
    net.run(12s);
    for (std::uint32_t flow = 0; flow < 60; ++flow)
    {
        net.call(flow, packet_role::opens);
        net.run(10ms);
    }
    net.run(12s);
    const std::size_t restarted = net.owners(0).front();
    const std::size_t flows = net.agent_of(restarted).flows();
    net.restart_agent(restarted);
    EXPECT_EQ(net.agent_of(restarted).flows(), 0U);
    for (int round = 0; round < 5; ++round)
    {
        for (std::uint32_t flow = 0; flow < 60; ++flow)
        {
            net.call(flow, packet_role::continues);
        }
        net.run(300ms);
    }
    EXPECT_EQ(net.agent_of(restarted).flows(), flows);
    EXPECT_EQ(net.misplaced, 0U);
    EXPECT_EQ(net.total().unknown_flows, 0U);
}

TEST(failure, unknown_tcp_flows_are_reset)
{
    mesh net(defaults());
    net.run(12s);
    net.call(7, packet_role::continues);
    net.run(100ms);
    EXPECT_EQ(net.caller(7).reset, 1U);
    EXPECT_EQ(net.caller(7).last_told.reason, refusal_reason::unknown_flow);
    EXPECT_TRUE(net.owners(7).empty());
}

} // namespace crowlink::test
