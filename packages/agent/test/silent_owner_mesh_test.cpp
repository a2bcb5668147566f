// Flows of datagrams at an upstream whose agent control does not hear and that
// still serves them, in a mesh of agents.

#include "mesh.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t flows = 120;
constexpr std::uint32_t new_flows = 400;
constexpr std::size_t lost = 2;

mesh_settings defaults(std::uint64_t seed)
{
    mesh_settings settings;
    settings.declared.id = service_id(5);
    settings.declared.sharing.cold_start = 0s;
    settings.seed = seed;
    return settings;
}

class silent_owner_mesh : public ::testing::TestWithParam<std::uint64_t>
{
protected:
    silent_owner_mesh()
    {
        m_net.run(15s);
        call_all(0, flows);
        m_net.run(15s);
        EXPECT_EQ(answered(0, flows), flows);
    }

    void call_all(std::uint32_t first, std::uint32_t count)
    {
        for (std::uint32_t flow = first; flow < first + count; ++flow)
        {
            m_net.call(flow);
            m_net.run(5ms);
        }
    }

    std::uint64_t answered(std::uint32_t first, std::uint32_t count)
    {
        std::uint64_t sum = 0;
        for (std::uint32_t flow = first; flow < first + count; ++flow)
        {
            sum += m_net.caller(flow).answered;
        }
        return sum;
    }

    mesh m_net{defaults(GetParam())};
};

} // namespace

TEST_P(silent_owner_mesh, keeps_its_flows_while_views_change)
{
    m_net.cut_from_control(lost, false);
    call_all(0, flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.misplaced, 0U);
    EXPECT_EQ(answered(0, flows), 2 * flows);
}

TEST_P(silent_owner_mesh, keeps_its_flows_after_its_lease_has_expired)
{
    m_net.cut_from_control(lost, false);
    m_net.run(3s);
    call_all(0, flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.misplaced, 0U);
    EXPECT_EQ(answered(0, flows), 2 * flows);
}

// The tables that listed the owner have expired by then.
TEST_P(silent_owner_mesh, keeps_flows_that_were_idle_for_long)
{
    m_net.cut_from_control(lost, false);
    m_net.run(2min);
    call_all(0, flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.misplaced, 0U);
    EXPECT_EQ(answered(0, flows), 2 * flows);
}

// The candidates that were asked when the flow opened still have its hints.
TEST_P(silent_owner_mesh, keeps_flows_that_have_just_opened)
{
    call_all(flows, flows);
    m_net.run(500ms);
    m_net.cut_from_control(lost, false);
    m_net.run(2500ms);
    call_all(flows, flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.misplaced, 0U);
    EXPECT_EQ(answered(flows, flows), 2 * flows);
}

// The owner notifies the head, which then sends the flow's datagrams directly.
TEST_P(silent_owner_mesh, is_asked_about_each_flow_once)
{
    m_net.cut_from_control(lost, false);
    m_net.run(2min);
    call_all(0, flows);
    m_net.run(5s);
    const std::uint64_t asked = m_net.total().questions;
    call_all(0, flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.total().questions, asked);
    EXPECT_EQ(answered(0, flows), 3 * flows);
}

TEST_P(silent_owner_mesh, gets_no_new_flow)
{
    m_net.cut_from_control(lost, false);
    m_net.run(5s);
    const std::size_t before = m_net.agent_of(lost).flows();
    call_all(flows, new_flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.agent_of(lost).flows(), before);
    EXPECT_EQ(answered(flows, new_flows), new_flows);
}

TEST_P(silent_owner_mesh, failed_owner_delays_new_flows_only_briefly)
{
    m_net.cut_from_control(lost, true);
    m_net.run(5s);
    call_all(flows, new_flows);
    m_net.run(200ms);
    EXPECT_EQ(answered(flows, new_flows), new_flows);
}

TEST_P(silent_owner_mesh, keeps_its_flows_when_it_is_heard_again)
{
    m_net.cut_from_control(lost, false);
    m_net.run(30s);
    call_all(0, flows);
    m_net.return_to_control(lost);
    call_all(0, flows);
    m_net.run(1min);
    call_all(0, flows);
    m_net.run(5s);
    EXPECT_EQ(m_net.misplaced, 0U);
    EXPECT_EQ(answered(0, flows), 4 * flows);
}

INSTANTIATE_TEST_SUITE_P(seeds, silent_owner_mesh,
                         ::testing::Range<std::uint64_t>(1, 11));

} // namespace crowlink::test
