#include "fake_cluster.hpp"

namespace crowlink::test
{

namespace
{

// Two services of three upstreams each, a node that wants all services and one
// that wants only the first. The document then no longer lists the first one.
class undeclared_service : public ::testing::Test
{
protected:
    undeclared_service()
    {
        for (const char* host : {"c1", "c2", "c3"})
        {
            m_cluster.add_control(host, host, "north");
        }
        declare({1, 2});
        m_cluster.start_controls();
        for (std::uint32_t index = 0; index < 6; ++index)
        {
            m_cluster.add_upstream("u" + std::to_string(index), 1 + index % 2,
                                   "c1", "north");
        }
        interest all;
        all.all_services = true;
        m_cluster.add_node("balancer", all, "north");
        interest first;
        first.services = {m_first};
        m_cluster.add_node("agent", first, "north");
        m_cluster.run(std::chrono::seconds(30));
        EXPECT_EQ(m_cluster.difference(), "");
        declare({2});
        m_cluster.run(std::chrono::seconds(10));
        EXPECT_EQ(m_cluster.difference(), "");
    }

    void declare(const std::vector<std::uint32_t>& ids)
    {
        m_cluster.document.services.clear();
        for (const std::uint32_t id : ids)
        {
            service declared;
            declared.id = service_id(id);
            declared.name = "service-" + std::to_string(id);
            declared.limits.slots = 7;
            declared.addresses = {
                m_cluster.next_address(static_cast<std::uint16_t>(80 + id))};
            m_cluster.document.services.push_back(declared);
        }
        m_cluster.version = config_version(m_cluster.version.value() + 1);
    }

    // Each node knows the members of the first service, and no address of it.
    void expect_members(std::size_t count)
    {
        for (const fake_cluster::node& each : m_cluster.nodes)
        {
            const auto view = each.core->view(m_first);
            ASSERT_TRUE(view) << each.id.value();
            EXPECT_EQ(view->members.size(), count) << each.id.value();
            EXPECT_TRUE(view->declared.addresses.empty());
            EXPECT_EQ(view->declared.id, m_first);
        }
    }

    void end_upstreams_of_first()
    {
        for (fake_cluster::announced& each : m_cluster.announcers)
        {
            if (each.first.service == m_first)
            {
                m_cluster.network.send(
                    m_cluster.now, host_id("a-" + each.first.id.value()),
                    each.core->change(m_cluster.now, upstream_state::gone, 1));
            }
        }
    }

    const service_id m_first{1};
    fake_cluster m_cluster{5};
};

} // namespace

// Open flows stay with upstreams of a service that a change no longer lists:
// nodes that forgot its members reset them.
TEST_F(undeclared_service, its_members_stay_known)
{
    expect_members(3);
    m_cluster.run(std::chrono::minutes(5));
    expect_members(3);
    for (const fake_cluster::node& each : m_cluster.nodes)
    {
        EXPECT_EQ(each.core->view(m_first)->declared.limits.slots, 7U);
    }
}

// What a process remembers ends with it.
TEST_F(undeclared_service, its_members_are_known_to_nodes_that_start_afterwards)
{
    for (std::size_t index = 0; index < m_cluster.nodes.size(); ++index)
    {
        m_cluster.start_node(index);
    }
    m_cluster.run(std::chrono::seconds(20));
    expect_members(3);
}

TEST_F(undeclared_service, its_members_stay_known_while_control_hosts_restart)
{
    for (std::size_t index = 0; index < m_cluster.controls.size(); ++index)
    {
        m_cluster.start_control(index);
        m_cluster.run(std::chrono::seconds(20));
        expect_members(3);
    }
}

TEST_F(undeclared_service, changes_of_its_members_reach_nodes)
{
    m_cluster.add_upstream("u9", 1, "c1", "north");
    m_cluster.run(std::chrono::seconds(20));
    expect_members(4);
}

TEST_F(undeclared_service, is_removed_with_its_last_upstream)
{
    end_upstreams_of_first();
    m_cluster.run(std::chrono::seconds(20));
    for (const fake_cluster::node& each : m_cluster.nodes)
    {
        EXPECT_FALSE(each.core->view(m_first)) << each.id.value();
    }
}

TEST_F(undeclared_service, is_declared_again_with_its_members)
{
    declare({1, 2});
    m_cluster.run(std::chrono::seconds(10));
    EXPECT_EQ(m_cluster.difference(), "");
}

} // namespace crowlink::test
