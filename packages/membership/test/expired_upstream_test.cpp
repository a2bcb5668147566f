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

    // It stops without a word, and its lease runs out.
    upstream_id lose(fake_cluster::announced& upstream)
    {
        upstream.core.reset();
        m_cluster.run(std::chrono::seconds(40));
        return upstream.first.id;
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

// A home that exchanges nothing with the other control hosts, and goes on
// answering its announcers.
class cut_off_home : public expired_upstream
{
protected:
    using direction = std::function<bool(bool from_home, bool to_home)>;

    void cut(const host_id& home, const direction& is_lost)
    {
        const auto is_control = [this](const host_id& id)
        {
            return std::any_of(m_cluster.controls.begin(),
                               m_cluster.controls.end(),
                               [&id](const fake_cluster::control& each)
                               { return each.info.id == id; });
        };
        m_cluster.network.drop = [=](const host_id& from, const host_id& to,
                                     const wire::membership_message&)
        {
            return is_control(from) && is_control(to) &&
                   is_lost(from == home, to == home);
        };
    }

    // Whether both nodes see an upstream ready all the time.
    bool stays_ready(const upstream_id& id, duration time)
    {
        const time_point end = m_cluster.now + time;
        bool is_ready = true;
        while (m_cluster.now < end)
        {
            m_cluster.step();
            is_ready = is_ready && seen(0, id) == upstream_state::ready &&
                       seen(1, id) == upstream_state::ready;
        }
        return is_ready;
    }

    const fake_cluster::announced& m_upstream = m_cluster.announcers[0];
    host_id m_home = home_of(m_upstream).info.id;
};

} // namespace

TEST_F(cut_off_home, keeps_no_upstream_from_the_others)
{
    cut(m_home,
        [](bool from_home, bool to_home) { return from_home || to_home; });
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(2)));
    EXPECT_NE(m_upstream.core->home(), m_home);
    m_cluster.network.drop = nullptr;
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(1)));
    EXPECT_EQ(m_cluster.difference(), "");
}

TEST_F(cut_off_home, that_is_not_heard_keeps_no_upstream_from_the_others)
{
    cut(m_home, [](bool from_home, bool) { return from_home; });
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(2)));
    EXPECT_NE(m_upstream.core->home(), m_home);
}

// Where no control host hears another one, each is as good as the next.
TEST_F(cut_off_home, is_left_once_in_each_renewal_where_all_are_cut_off)
{
    cut(m_home, [](bool, bool) { return true; });
    m_cluster.run(std::chrono::seconds(30));
    const std::uint64_t before = m_upstream.core->record().sequence;
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(2)));
    const std::uint64_t moves = m_upstream.core->record().sequence - before;
    const auto renewals =
        std::chrono::minutes(2) / (announcer_settings().renew_every * 3 / 4);
    EXPECT_LE(moves, static_cast<std::uint64_t>(renewals) + 1);
}

TEST_F(expired_upstream, is_silent_where_it_kept_its_home)
{
    const upstream_id id = lose(m_cluster.announcers[0]);
    EXPECT_EQ(seen(0, id), upstream_state::silent);
    EXPECT_EQ(seen(1, id), upstream_state::silent);
}

TEST_F(expired_upstream, is_silent_though_it_changed_its_home_before)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    move_home(lost);
    const upstream_id id = lose(lost);
    EXPECT_EQ(seen(0, id), upstream_state::silent);
    EXPECT_EQ(seen(1, id), upstream_state::silent);
}

TEST_F(expired_upstream, has_ended_once_another_one_runs_at_its_agent)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    upstream_record next = lost.first;
    next.id = upstream_id("next");
    const upstream_id id = lose(lost);
    ASSERT_EQ(seen(0, id), upstream_state::silent);
    m_cluster.add_record(next, "north");
    m_cluster.run(std::chrono::seconds(10));
    EXPECT_EQ(seen(0, id), upstream_state::gone);
    EXPECT_EQ(seen(1, id), upstream_state::gone);
    EXPECT_EQ(seen(0, next.id), upstream_state::ready);
}

TEST_F(expired_upstream, is_silent_to_a_node_that_starts_later)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    const endpoint agent = lost.first.agent;
    const upstream_id id = lose(lost);
    m_cluster.start_node(0);
    m_cluster.run(std::chrono::seconds(10));
    ASSERT_EQ(seen(0, id), upstream_state::silent);
    const auto view = m_cluster.nodes[0].core->view(m_service);
    EXPECT_TRUE(std::any_of(view->members.begin(), view->members.end(),
                            [&agent](const upstream_record& each)
                            { return each.agent == agent; }));
}

} // namespace crowlink::test
