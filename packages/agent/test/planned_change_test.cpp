#include "mesh.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

mesh_settings defaults(std::uint64_t seed)
{
    mesh_settings settings;
    settings.declared.id = service_id(5);
    settings.declared.sharing.cold_start = 0s;
    settings.seed = seed;
    return settings;
}

// Requests on long flows at random times, and on short flows that open
// continually.
class workload
{
public:
    workload(mesh& net, std::uint32_t long_flows, std::uint64_t seed)
        : m_net(net), m_long(long_flows), m_random(seed)
    {
    }

    void run(duration time)
    {
        for (duration done{}; done < time; done += step)
        {
            for (std::uint32_t flow = 0; flow < m_long; ++flow)
            {
                if (m_random() % 4 == 0)
                {
                    m_net.call(flow);
                }
            }
            // The first datagrams of a new flow arrive together, through
            // balancers that may know different tables.
            const std::uint32_t opened = m_next++;
            m_net.call(opened);
            m_net.call(opened);
            m_net.call(opened);
            m_net.run(step);
        }
    }

    std::uint32_t first_short() const { return first; }
    std::uint32_t next_short() const { return m_next; }

private:
    static constexpr duration step = 200ms;
    static constexpr std::uint32_t first = 1000;

    mesh& m_net;
    std::uint32_t m_long;
    std::uint32_t m_next = first;
    seeded_random m_random;
};

// Makes one planned change, drawn at random.
void change(mesh& net, seeded_random& random)
{
    std::vector<std::size_t> ready;
    std::vector<std::size_t> draining;
    for (std::size_t i = 0; i < net.nodes(); ++i)
    {
        const bool takes = net.record(i).state == upstream_state::ready;
        (takes ? ready : draining).push_back(i);
    }
    const std::size_t node = ready[random() % ready.size()];
    switch (random() % 6)
    {
    case 0:
        ready.size() > 4 ? net.drain(node, true) : net.set_weight(node, 100);
        break;
    case 1:
        if (!draining.empty())
        {
            net.drain(draining[random() % draining.size()], false);
        }
        break;
    case 2:
        net.nodes() < 16 ? static_cast<void>(net.join())
                         : net.set_weight(node, 50);
        break;
    case 3:
        net.set_weight(node, 20 + static_cast<std::uint32_t>(random() % 300));
        break;
    case 4:
        net.replace_balancer(random() % 3);
        break;
    default:
        net.set_weight(node, 100);
    }
}

void expect_unbroken(mesh& net, std::uint32_t flows)
{
    EXPECT_EQ(net.misplaced, 0U);
    EXPECT_EQ(net.total().duplicate_owners, 0U);
    for (std::uint32_t flow = 0; flow < flows; ++flow)
    {
        EXPECT_EQ(net.owners(flow).size(), 1U) << flow;
        EXPECT_EQ(net.caller(flow).reset, 0U) << flow;
        EXPECT_EQ(net.caller(flow).refused, 0U) << flow;
        EXPECT_EQ(net.caller(flow).answered, net.caller(flow).sent) << flow;
    }
}

class planned_change : public testing::TestWithParam<std::uint64_t>
{
};

} // namespace

TEST_P(planned_change, hundreds_of_changes_break_no_flow)
{
    mesh net(defaults(GetParam()));
    net.run(15s);
    workload work(net, 40, GetParam());
    work.run(2s);
    seeded_random random(GetParam());
    for (int i = 0; i < 300; ++i)
    {
        change(net, random);
        work.run(std::chrono::milliseconds(200 + random() % 3000));
    }
    net.run(5s);
    expect_unbroken(net, 40);
    for (std::uint32_t flow = work.first_short(); flow < work.next_short();
         ++flow)
    {
        ASSERT_EQ(net.owners(flow).size(), 1U) << flow;
    }
    EXPECT_GT(net.total().redirected, 0U);
}

// Upstreams are replaced one after another while agents restart beside running
// upstreams; draining upstreams end when their flows have ended.
TEST_P(planned_change, rolling_replacement_and_agent_restarts_break_no_flow)
{
    mesh_settings settings = defaults(GetParam());
    settings.agents.udp_idle = 20s;
    mesh net(settings);
    net.run(15s);
    workload work(net, 20, GetParam());
    work.run(2s);
    seeded_random random(GetParam());
    for (std::size_t i = 0; i < 14; ++i)
    {
        net.join();
        work.run(3s);
        net.leave(i);
        work.run(4s);
        net.restart_agent(7 + random() % (net.nodes() - 7));
        work.run(15s);
        for (std::size_t node = 0; node < net.nodes(); ++node)
        {
            net.retire_if_idle(node);
        }
    }
    net.run(5s);
    expect_unbroken(net, 20);
    EXPECT_GT(net.total().adopted, 0U);
}

// With one percent of packets and of messages between agents lost, no flow gets
// a second owner; only packets are lost.
TEST_P(planned_change, lost_packets_create_no_second_owner)
{
    mesh_settings settings = defaults(GetParam());
    settings.loss = 0.01;
    mesh net(settings);
    net.run(15s);
    workload work(net, 40, GetParam());
    work.run(2s);
    seeded_random random(GetParam());
    for (int i = 0; i < 100; ++i)
    {
        change(net, random);
        work.run(std::chrono::milliseconds(200 + random() % 8000));
    }
    net.run(5s);
    EXPECT_EQ(net.misplaced, 0U);
    EXPECT_EQ(net.total().duplicate_owners, 0U);
    for (std::uint32_t flow = 0; flow < 40; ++flow)
    {
        EXPECT_EQ(net.owners(flow).size(), 1U) << flow;
        EXPECT_EQ(net.caller(flow).reset, 0U) << flow;
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, planned_change,
                         testing::Values(1, 2, 16, 24, 26, 51));

} // namespace crowlink::test
