#include "crowlink/membership/place_watch.hpp"

#include <gtest/gtest.h>

namespace crowlink
{

namespace
{

using namespace std::chrono_literals;

endpoint host(std::uint8_t place, std::uint8_t number)
{
    const std::array<std::uint8_t, 4> bytes{10, place, 0, number};
    return endpoint{ip_address::from_v4(bytes), 7735};
}

// Two other data centres of ten hosts each. An answer arrives at the next step.
class place_watch_probes : public ::testing::Test
{
protected:
    static constexpr duration turn = 50ms;

    place_watch_probes()
    {
        place_watch::hosts_type hosts;
        for (std::uint8_t i = 0; i < 10; ++i)
        {
            hosts[place_id("north")].push_back(host(1, i));
            hosts[place_id("south")].push_back(host(2, i));
        }
        m_watch.set_hosts(hosts);
    }

    static std::uint8_t place_of(const endpoint& to)
    {
        return to.address.bytes()[13];
    }

    // Runs steps. A probe is answered unless its data centre or host is down or
    // the probe is lost.
    void run(duration time)
    {
        for (duration done{}; done < time; done += turn)
        {
            for (const std::uint32_t number : m_on_the_way)
            {
                m_watch.answered(number);
            }
            m_on_the_way.clear();
            for (const place_probe& each : m_watch.tick(m_now))
            {
                ++m_sent;
                const bool is_lost =
                    m_down_places.count(place_of(each.to)) != 0 ||
                    m_down_hosts.count(each.to) != 0 ||
                    (m_lose_each != 0 && m_sent % m_lose_each == 0);
                if (!is_lost)
                {
                    m_on_the_way.push_back(each.number);
                }
            }
            m_now += turn;
        }
    }

    bool reaches(const char* where) const
    {
        return m_watch.unreachable().count(place_id(where)) == 0;
    }

    time_point m_now{1h};
    place_watch m_watch;
    std::set<std::uint8_t> m_down_places;
    std::set<endpoint> m_down_hosts;
    std::size_t m_lose_each = 0;
    std::size_t m_sent = 0;
    std::vector<std::uint32_t> m_on_the_way;
};

TEST_F(place_watch_probes, lost_data_centre_alone_is_unreachable_within_0_4_s)
{
    run(1s);
    m_down_places = {1};
    run(400ms);
    EXPECT_FALSE(reaches("north"));
    EXPECT_TRUE(reaches("south"));
}

// Hosts that were all stopped only briefly answer again before the flows are
// given up.
TEST_F(place_watch_probes, data_centre_is_given_up_later_than_it_is_unreachable)
{
    run(1s);
    m_down_places = {1};
    run(450ms);
    EXPECT_FALSE(reaches("north"));
    EXPECT_TRUE(m_watch.given_up().empty());
    run(400ms);
    EXPECT_EQ(m_watch.given_up().count(place_id("north")), 1U);
    m_down_places = {};
    run(200ms);
    EXPECT_TRUE(m_watch.given_up().empty());
}

TEST_F(place_watch_probes, returned_data_centre_is_reachable_within_0_2_s)
{
    m_down_places = {1, 2};
    run(5s);
    EXPECT_FALSE(reaches("north"));
    EXPECT_FALSE(reaches("south"));
    m_down_places = {2};
    run(200ms);
    EXPECT_TRUE(reaches("north"));
    EXPECT_FALSE(reaches("south"));
}

// A release or a crash stops some hosts of a data centre, but not all of them.
TEST_F(place_watch_probes,
       data_centre_with_half_of_its_hosts_down_stays_reachable)
{
    for (std::uint8_t i = 0; i < 5; ++i)
    {
        m_down_hosts.insert(host(1, i));
    }
    for (int i = 0; i < 100; ++i)
    {
        run(100ms);
        ASSERT_TRUE(reaches("north")) << "after " << i;
    }
}

TEST_F(place_watch_probes,
       data_centres_stay_reachable_with_every_fourth_probe_lost)
{
    m_lose_each = 4;
    for (int i = 0; i < 300; ++i)
    {
        run(100ms);
        ASSERT_TRUE(reaches("north") && reaches("south")) << "after " << i;
    }
}

// The answers arrive during the pause and are reported before timeouts are
// checked.
TEST_F(place_watch_probes,
       data_centre_stays_reachable_after_a_pause_of_this_host)
{
    run(1s);
    m_now += 5s;
    run(1s);
    EXPECT_TRUE(reaches("north"));
}

// The only agent of a service in its data centre gets no processor for a
// moment.
TEST_F(place_watch_probes, single_host_that_stands_still_is_not_given_up)
{
    m_watch.set_hosts(
        {{place_id("north"), {host(1, 0)}}, {place_id("south"), {host(2, 0)}}});
    run(1s);
    m_down_hosts = {host(1, 0)};
    run(900ms);
    EXPECT_TRUE(m_watch.given_up().empty());
    run(2s);
    EXPECT_EQ(m_watch.given_up().count(place_id("north")), 1U);
}

// The hosts of several services on one machine count once.
TEST_F(place_watch_probes, host_that_is_named_several_times_is_not_given_up)
{
    m_watch.set_hosts(
        {{place_id("north"), {host(1, 0), host(1, 0), host(1, 0)}}});
    run(1s);
    m_down_hosts = {host(1, 0)};
    run(900ms);
    EXPECT_TRUE(m_watch.given_up().empty());
}

// The others ended long ago and are still listed.
TEST_F(place_watch_probes, last_host_that_answers_is_not_given_up_at_once)
{
    m_watch.set_hosts(
        {{place_id("north"), {host(1, 0), host(1, 1), host(1, 2)}}});
    m_down_hosts = {host(1, 1), host(1, 2)};
    run(5s);
    m_down_hosts.insert(host(1, 0));
    run(900ms);
    EXPECT_TRUE(m_watch.given_up().empty());
}

TEST_F(place_watch_probes, probe_rate_is_limited)
{
    place_watch::hosts_type hosts;
    for (std::uint8_t i = 0; i < 11; ++i)
    {
        hosts[place_id("p" + std::to_string(i))].push_back(host(i, 1));
    }
    m_watch.set_hosts(hosts);
    run(10s);
    EXPECT_LE(m_sent, 220U);
    EXPECT_GE(m_sent, 150U);
}

TEST_F(place_watch_probes, removed_data_centre_is_not_unreachable)
{
    m_down_places = {1};
    run(1s);
    m_watch.set_hosts({{place_id("south"), {host(2, 1)}}});
    EXPECT_TRUE(reaches("north"));
}

} // namespace

} // namespace crowlink
