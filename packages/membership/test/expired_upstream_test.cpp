#include "fake_cluster.hpp"

#include <algorithm>

namespace crowlink::test
{

namespace
{

// Three control hosts of one region, some upstreams of one service, two nodes.
class expired_upstream : public ::testing::Test
{
protected:
    expired_upstream()
    {
        service declared;
        declared.id = m_service;
        declared.name = "service";
        m_cluster.document.services.push_back(declared);
        for (const char* host : {"c1", "c2", "c3"})
        {
            m_cluster.add_control(host, host, "north");
        }
        m_cluster.start_controls();
        for (int index = 0; index < 7; ++index)
        {
            const std::string place = "c" + std::to_string(index % 3 + 1);
            m_cluster.add_upstream("u" + std::to_string(index), 1, place,
                                   "north");
        }
        interest all;
        all.all_services = true;
        m_cluster.add_node("n1", all, "north");
        m_cluster.add_node("n2", all, "north");
        m_cluster.run(std::chrono::seconds(30));
        EXPECT_EQ(m_cluster.difference(), "");
    }

    fake_cluster::control& home_of(const fake_cluster::announced& upstream)
    {
        return *std::find_if(m_cluster.controls.begin(),
                             m_cluster.controls.end(),
                             [&upstream](const fake_cluster::control& each)
                             { return each.info.id == upstream.core->home(); });
    }

    // Its home stands still for long enough that another one is found.
    void move_home(const fake_cluster::announced& upstream)
    {
        fake_cluster::control& before = home_of(upstream);
        before.paused = true;
        m_cluster.run(std::chrono::seconds(10));
        before.paused = false;
        EXPECT_NE(upstream.core->home(), before.info.id);
        m_cluster.run(std::chrono::seconds(10));
        EXPECT_EQ(m_cluster.difference(), "");
    }

    // The state in which a node sees an upstream; gone if it does not.
    upstream_state seen(std::size_t node, const upstream_id& id) const
    {
        const auto view = m_cluster.nodes[node].core->view(m_service);
        const auto found = std::find_if(
            view->members.begin(), view->members.end(),
            [&id](const upstream_record& each) { return each.id == id; });
        return found == view->members.end() ? upstream_state::gone
                                            : found->state;
    }

    service_id m_service{1};
    fake_cluster m_cluster{7};
};

} // namespace

TEST_F(expired_upstream, is_silent_where_it_kept_its_home)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    const upstream_id id = lost.first.id;
    lost.core.reset();
    m_cluster.run(std::chrono::seconds(40));
    EXPECT_EQ(seen(0, id), upstream_state::silent);
    EXPECT_EQ(seen(1, id), upstream_state::silent);
}

TEST_F(expired_upstream, is_silent_though_it_changed_its_home_before)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    move_home(lost);
    const upstream_id id = lost.first.id;
    lost.core.reset();
    m_cluster.run(std::chrono::seconds(40));
    EXPECT_EQ(seen(0, id), upstream_state::silent);
    EXPECT_EQ(seen(1, id), upstream_state::silent);
}

TEST_F(expired_upstream, is_silent_to_a_node_that_starts_later)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    const upstream_id id = lost.first.id;
    const endpoint agent = lost.first.agent;
    lost.core.reset();
    m_cluster.run(std::chrono::seconds(40));
    m_cluster.start_node(0);
    m_cluster.run(std::chrono::seconds(10));
    ASSERT_EQ(seen(0, id), upstream_state::silent);
    const auto view = m_cluster.nodes[0].core->view(m_service);
    EXPECT_TRUE(std::any_of(view->members.begin(), view->members.end(),
                            [&agent](const upstream_record& each)
                            { return each.agent == agent; }));
}

} // namespace crowlink::test
