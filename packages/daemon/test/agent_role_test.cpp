#include "agent/agent_role.hpp"

#include "crowlink/model/system_document.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace crowlink::internal
{

namespace
{

const endpoint any_port = *endpoint::parse("127.0.0.1:0");
constexpr std::chrono::milliseconds patience(20);
constexpr int most_tries = 250;

// The agent of an upstream that announces itself.
class announced_upstream : public testing::Test
{
protected:
    announced_upstream()
    {
        m_settings.host =
            host_settings{host_id("h"), place_id("p"), region_id("r")};
        agent_role_settings own;
        own.service = number_of_service("s");
        own.upstream_address = m_upstream.local();
        own.delivery = delivery_mode::flow_packets;
        own.tunnel = any_port;
        own.flow_packets.emplace();
        own.flow_packets->outbound = any_port;
        own.flow_packets->announcements = any_port;
        m_settings.agents.push_back(own);
        m_role = *agent_role::open(m_settings, own, m_keys, m_log);
    }

    void announce(std::uint64_t started, std::uint64_t sequence)
    {
        upstream_announcement told;
        told.id = m_name;
        told.service = "s";
        told.started = incarnation(started);
        told.sequence = sequence;
        ASSERT_TRUE(m_role->announce(steady_clock_source().now(), told));
    }

    void stop()
    {
        m_board.phase.set(stop_phase::draining);
        m_role->advance(steady_clock_source().now(), m_board);
    }

    // The record that is to be announced of this incarnation, once its agent's
    // thread has named one in this state; without a value if it does not.
    std::optional<upstream_record> wanted(std::uint64_t started,
                                          upstream_state state)
    {
        for (int tries = 0; tries < most_tries; ++tries)
        {
            m_role->read_wanted(m_board);
            const auto found = m_board.wanted.get().find(m_name);
            if (found != m_board.wanted.get().end() &&
                found->second.started.value() == started &&
                found->second.state == state)
            {
                return found->second;
            }
            std::this_thread::sleep_for(patience);
        }
        return std::nullopt;
    }

    const upstream_id m_name{"u"};
    udp_socket m_upstream = *udp_socket::bind(any_port);
    daemon_settings m_settings;
    key_ring m_keys;
    log_sink m_log{stdout, log_format::key_value, log_level::error, 16};
    blackboard m_board;
    std::unique_ptr<agent_role> m_role;
};

TEST_F(announced_upstream, found_one_gets_its_start_from_its_announcement)
{
    m_role->found(steady_clock_source().now(), m_name, false);
    const auto found = wanted(1, upstream_state::ready);
    ASSERT_TRUE(found);
    announce(5000, 40);
    const auto reported = wanted(5000, upstream_state::ready);
    ASSERT_TRUE(reported);
    EXPECT_GT(reported->sequence, found->sequence);
}

TEST_F(announced_upstream, is_draining_when_its_agent_stops)
{
    announce(5000, 40);
    ASSERT_TRUE(wanted(5000, upstream_state::ready));
    stop();
    EXPECT_TRUE(wanted(5000, upstream_state::draining));
}

// The stopping agent would leave a ready record, and new flows would go to a
// closed port until its lease runs out.
TEST_F(announced_upstream, start_that_is_reported_to_a_stopping_agent_drains)
{
    m_role->found(steady_clock_source().now(), m_name, false);
    ASSERT_TRUE(wanted(1, upstream_state::ready));
    stop();
    ASSERT_TRUE(wanted(1, upstream_state::draining));
    announce(5000, 40);
    EXPECT_TRUE(wanted(5000, upstream_state::draining));
}

// The same for an upstream that restarts while its agent stops.
TEST_F(announced_upstream, next_incarnation_beside_a_stopping_agent_drains)
{
    announce(5000, 40);
    ASSERT_TRUE(wanted(5000, upstream_state::ready));
    stop();
    ASSERT_TRUE(wanted(5000, upstream_state::draining));
    announce(6000, 1);
    EXPECT_TRUE(wanted(6000, upstream_state::draining));
}

// The agent stops before it knows its upstream.
TEST_F(announced_upstream, first_announcement_to_a_stopping_agent_drains)
{
    stop();
    std::this_thread::sleep_for(patience);
    announce(5000, 40);
    EXPECT_TRUE(wanted(5000, upstream_state::draining));
}

} // namespace

} // namespace crowlink::internal
