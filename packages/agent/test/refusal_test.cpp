#include "mesh.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

mesh_settings small(std::uint32_t connections)
{
    mesh_settings settings;
    settings.declared.id = service_id(5);
    settings.declared.limits.connections = connections;
    settings.declared.sharing.cold_start = 0s;
    return settings;
}

} // namespace

// Requests refused as "not run" are in no upstream's own record.
TEST(refusal, not_run_requests_never_reached_an_upstream)
{
    mesh net(small(5));
    net.run(12s);
    std::vector<std::uint32_t> requests;
    for (std::uint32_t flow = 0; flow < 200; ++flow)
    {
        net.call(flow);
        net.run(20ms);
    }
    net.run(1s);
    std::size_t refused = 0;
    for (std::uint32_t flow = 0; flow < 200; ++flow)
    {
        const auto& state = net.caller(flow);
        EXPECT_EQ(state.refused + state.answered, 1U) << flow;
        for (const std::uint32_t request : state.refused_requests)
        {
            EXPECT_EQ(state.last_told.outcome, verdict::not_run);
            EXPECT_GT(state.last_told.retry_after, duration::zero());
            EXPECT_FALSE(net.ran(request)) << request;
            ++refused;
        }
    }
    // Seven upstreams with five connections each, not all of which every chain
    // reaches.
    EXPECT_GE(refused, 165U);
    EXPECT_LE(refused, 175U);
}

// As soon as an agent knows that it leaves, it admits no new flow.
TEST(refusal, leaving_upstream_gets_no_new_flow_and_keeps_its_own)
{
    mesh net(small(2000));
    net.run(12s);
    for (std::uint32_t flow = 0; flow < 50; ++flow)
    {
        net.call(flow);
        net.run(10ms);
    }
    const std::size_t leaving = net.owners(0).front();
    const std::size_t kept = net.agent_of(leaving).flows();
    net.leave(leaving);
    for (std::uint32_t flow = 0; flow < 300; ++flow)
    {
        net.call(flow % 50);
        net.call(1000 + flow);
        net.run(50ms);
    }
    EXPECT_EQ(net.agent_of(leaving).flows(), kept);
    EXPECT_EQ(net.misplaced, 0U);
    EXPECT_EQ(net.total().refused, 0U);
}

TEST(refusal, flow_is_refused_at_once_when_all_upstreams_leave)
{
    mesh net(small(2000));
    net.run(12s);
    for (std::size_t i = 0; i < net.nodes(); ++i)
    {
        net.leave(i);
    }
    const std::uint32_t request = net.call(1);
    net.run(100ms);
    EXPECT_EQ(net.caller(1).refused, 1U);
    EXPECT_EQ(net.caller(1).last_told.reason, refusal_reason::leaving);
    EXPECT_FALSE(net.ran(request));
}

} // namespace crowlink::test
