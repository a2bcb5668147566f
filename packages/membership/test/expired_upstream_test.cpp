#include "fake_cluster.hpp"

#include <algorithm>

namespace crowlink::test
{

namespace
{

// Three control hosts of one region, seven upstreams of one service, two nodes.
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

    host_id other_than(const host_id& home) const
    {
        const host_id& first = m_cluster.controls.front().info.id;
        return first == home ? m_cluster.controls.back().info.id : first;
    }

    // Pauses the home of an upstream for long enough that the upstream moves to
    // another one.
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

    // Stops an upstream without announcing its end, until its lease has
    // expired.
    upstream_id stop_and_expire(fake_cluster::announced& upstream)
    {
        upstream.core.reset();
        m_cluster.run(std::chrono::seconds(40));
        return upstream.first.id;
    }

    // Restarts the control hosts one after the other, each without its former
    // state.
    void restart_control_hosts()
    {
        for (std::size_t index = 0; index < m_cluster.controls.size(); ++index)
        {
            m_cluster.start_control(index);
            m_cluster.run(std::chrono::seconds(10));
        }
    }

    // Lets only one control host answer nodes from now on.
    void let_one_publish(const host_id& host)
    {
        m_cluster.network.drop = [host](const host_id& from, const host_id&,
                                        const wire::membership_message& message)
        {
            const bool is_stream = message.has_part() || message.has_idle() ||
                                   message.has_refused();
            return is_stream && from != host;
        };
    }

    // The state in which a node sees an upstream; gone if the node does not see
    // it.
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

// A home that is cut off from the other control hosts but still answers its
// announcers.
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

    // Whether both nodes see an upstream as ready throughout the given time.
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

TEST_F(cut_off_home, loses_no_upstream_when_cut_off_in_both_directions)
{
    cut(m_home,
        [](bool from_home, bool to_home) { return from_home || to_home; });
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(2)));
    EXPECT_NE(m_upstream.core->home(), m_home);
    m_cluster.network.drop = nullptr;
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(1)));
    EXPECT_EQ(m_cluster.difference(), "");
}

TEST_F(cut_off_home, loses_no_upstream_when_its_messages_are_lost)
{
    cut(m_home, [](bool from_home, bool) { return from_home; });
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(2)));
    EXPECT_NE(m_upstream.core->home(), m_home);
}

// If no control host hears another one, no home is better than another.
TEST_F(cut_off_home,
       is_left_at_most_once_per_renewal_when_all_homes_are_cut_off)
{
    cut(m_home, [](bool, bool) { return true; });
    m_cluster.run(std::chrono::seconds(30));
    const std::uint64_t before = m_upstream.core->record().sequence;
    EXPECT_TRUE(stays_ready(m_upstream.first.id, std::chrono::minutes(2)));
    const std::uint64_t moves = m_upstream.core->record().sequence - before;
    const auto renewals = std::chrono::minutes(2) /
                          (announcer_settings().renewal_interval * 3 / 4);
    EXPECT_LE(moves, static_cast<std::uint64_t>(renewals) + 1);
}

// Two halves of a region, each of which expires the records that have their
// home in the other.
TEST(partitioned_region, considers_no_upstream_ended)
{
    fake_cluster cluster(11);
    service declared;
    declared.id = service_id(1);
    declared.name = "service";
    cluster.document.services.push_back(declared);
    const std::array hosts{"c1", "c2", "c3", "c4"};
    for (const char* host : hosts)
    {
        cluster.add_control(host, host, "north");
    }
    cluster.start_controls();
    for (int index = 0; index < 8; ++index)
    {
        const std::string place = hosts.at(index % hosts.size());
        cluster.add_upstream("u" + std::to_string(index), 1, place, "north");
    }
    interest all;
    all.all_services = true;
    cluster.add_node("n1", all, "north");
    cluster.add_node("n2", all, "north");
    cluster.run(std::chrono::seconds(30));
    ASSERT_EQ(cluster.difference(), "");
    const std::set<host_id> half{host_id("c1"), host_id("c2")};
    cluster.network.drop = [half](const host_id& from, const host_id& to,
                                  const wire::membership_message&)
    {
        const bool between_controls =
            from.value().starts_with('c') && to.value().starts_with('c');
        return between_controls && half.count(from) != half.count(to);
    };
    // The invariants of the cluster are checked at every step.
    cluster.run(std::chrono::minutes(2));
    cluster.start_node(0);
    cluster.run(std::chrono::minutes(1));
    cluster.network.drop = nullptr;
    cluster.run(std::chrono::minutes(1));
    EXPECT_EQ(cluster.difference(), "");
}

TEST_F(expired_upstream, is_silent_at_its_first_home)
{
    const upstream_id id = stop_and_expire(m_cluster.announcers[0]);
    EXPECT_EQ(seen(0, id), upstream_state::silent);
    EXPECT_EQ(seen(1, id), upstream_state::silent);
}

TEST_F(expired_upstream, is_silent_after_a_change_of_home)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    move_home(lost);
    const upstream_id id = stop_and_expire(lost);
    EXPECT_EQ(seen(0, id), upstream_state::silent);
    EXPECT_EQ(seen(1, id), upstream_state::silent);
}

TEST_F(expired_upstream, has_ended_once_its_agent_has_a_new_upstream)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    upstream_record next = lost.first;
    next.id = upstream_id("next");
    const upstream_id id = stop_and_expire(lost);
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
    const upstream_id id = stop_and_expire(lost);
    m_cluster.start_node(0);
    m_cluster.run(std::chrono::seconds(10));
    ASSERT_EQ(seen(0, id), upstream_state::silent);
    const auto view = m_cluster.nodes[0].core->view(m_service);
    EXPECT_TRUE(std::any_of(view->members.begin(), view->members.end(),
                            [&agent](const upstream_record& each)
                            { return each.agent == agent; }));
}

// A node that starts later and attaches to a control host that started later.
TEST_F(expired_upstream, is_silent_after_control_hosts_restarted)
{
    const upstream_id id = stop_and_expire(m_cluster.announcers[0]);
    restart_control_hosts();
    let_one_publish(m_cluster.controls[0].info.id);
    m_cluster.start_node(0);
    m_cluster.run(std::chrono::seconds(30));
    ASSERT_TRUE(m_cluster.nodes[0].core->view(m_service));
    EXPECT_EQ(seen(0, id), upstream_state::silent);
}

// A control host that was cut off knows neither that the lease expired nor that
// nodes hold it as expired; the upstream is back at it with the next sequence.
TEST_F(expired_upstream, that_returned_to_a_cut_off_host_is_ready_at_its_nodes)
{
    fake_cluster::announced& lost = m_cluster.announcers[0];
    const upstream_id id = lost.first.id;
    const host_id agent("a-" + id.value());
    const host_id home = lost.core->home();
    const host_id apart = other_than(home);
    const auto is_between_halves =
        [apart](const host_id& from, const host_id& to)
    {
        return from.value().starts_with('c') && to.value().starts_with('c') &&
               (from == apart || to == apart);
    };
    m_cluster.network.drop = [=](const host_id& from, const host_id& to,
                                 const wire::membership_message&)
    {
        return from == agent || to == agent || is_between_halves(from, to);
    };
    m_cluster.run(std::chrono::seconds(15));
    ASSERT_EQ(seen(0, id), upstream_state::silent);
    m_cluster.network.drop = [=](const host_id& from, const host_id& to,
                                 const wire::membership_message&)
    {
        const bool at_agent = from == agent || to == agent;
        const bool at_apart = from == apart || to == apart;
        return (at_agent && !at_apart) || is_between_halves(from, to);
    };
    m_cluster.run(std::chrono::seconds(15));
    let_one_publish(apart);
    m_cluster.run(std::chrono::seconds(30));
    EXPECT_EQ(seen(0, id), upstream_state::ready);
    EXPECT_EQ(seen(1, id), upstream_state::ready);
    EXPECT_EQ(m_cluster.difference(), "");
}

// Control hosts purge an expired record at slightly different times, so digests
// may differ for a moment. They must not differ permanently.
TEST_F(expired_upstream,
       is_purged_by_all_control_hosts_after_the_tombstone_life)
{
    m_cluster.observing.tombstone_life = std::chrono::minutes(3);
    restart_control_hosts();
    const upstream_id id = stop_and_expire(m_cluster.announcers[0]);
    restart_control_hosts();
    ASSERT_NE(m_cluster.controls[0].core->observing().find(m_service, id),
              nullptr);
    m_cluster.run(m_cluster.observing.tombstone_life);
    for (const fake_cluster::control& each : m_cluster.controls)
    {
        EXPECT_EQ(each.core->observing().find(m_service, id), nullptr);
    }
    const auto differences = [this]
    {
        std::uint64_t sum = 0;
        for (const fake_cluster::control& each : m_cluster.controls)
        {
            sum += each.core->observing().counters().counter(
                "membership_digest_differences_total");
        }
        return sum;
    };
    const std::uint64_t before = differences();
    m_cluster.run(std::chrono::minutes(1));
    EXPECT_EQ(differences(), before);
}

} // namespace crowlink::test
