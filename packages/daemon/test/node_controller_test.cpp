#include "control/node_controller.hpp"

#include "crowlink/membership/observer.hpp"
#include "crowlink/model/unreported_start.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace crowlink::internal
{

namespace
{

// Rounds of 100 ms of the controllers' time.
constexpr int most_rounds = 300;
constexpr duration round_time = std::chrono::milliseconds(100);
// How long a round waits for the sockets.
constexpr std::chrono::milliseconds patience(5);

const host_id control_name("c");
const upstream_id name("u");
const service_id number(1);
constexpr std::uint64_t running = 5000;

// An agent's node, and a control host with an observer, in this process.
class restarted_node : public testing::Test
{
protected:
    restarted_node() { start_node(); }

    static endpoint any_port() { return *endpoint::parse("127.0.0.1:0"); }

    static observer_info control_host()
    {
        return observer_info{control_name, place_id("p"), region_id("r")};
    }

    static observer new_observer(time_point now)
    {
        observer_settings made;
        made.self = control_host();
        return observer(made, now);
    }

    daemon_settings settings() const
    {
        daemon_settings made;
        made.host = host_settings{host_id("h"), place_id("p"), region_id("r")};
        made.is_network_trusted = true;
        made.control_endpoints = {control_endpoint{control_name, place_id("p"),
                                                   region_id("r"),
                                                   m_control.local(), ""}};
        agent_role_settings agent;
        agent.service = number;
        agent.flow_packets.emplace();
        made.agents.push_back(agent);
        return made;
    }

    // As a process that starts anew, with the wall clock in its sequences.
    void start_node()
    {
        m_node.reset();
        m_links.reset();
        m_board = blackboard();
        m_links = *control_links::open(m_zmq, settings(), identity(), nullptr);
        m_node = std::make_unique<node_controller>(
            settings(), *m_links, m_log, std::vector<upstream_record>(), 1,
            m_now);
        m_sequence += 1000;
    }

    void want(std::uint64_t started,
              upstream_state state = upstream_state::ready)
    {
        upstream_record record;
        record.id = name;
        record.service = number;
        record.started = incarnation(started);
        record.sequence = ++m_sequence;
        record.agent = any_port();
        record.where = place_id("p");
        record.state = state;
        m_board.wanted.set(wanted_records{{name, record}});
    }

    // The control host does not answer while it is down.
    void play_round()
    {
        m_now += round_time;
        m_node->advance(m_now, m_board);
        m_links->wait(patience, m_wake);
        while (const auto message = m_control.receive())
        {
            wire::membership_message decoded;
            ASSERT_TRUE(decoded.ParseFromString(message->bytes));
            if (m_observer && decoded.has_announce())
            {
                m_announced.push_back(decoded.announce().record().started());
            }
            answer(*message, decoded);
        }
        if (m_observer)
        {
            (void)m_observer->tick(m_now);
        }
        while (const auto message = m_links->next())
        {
            m_node->handle(m_now, *message, m_board);
        }
        if (const upstream_record* held = record())
        {
            m_held.insert(held->started.value());
        }
    }

    void answer(const received_message& message,
                const wire::membership_message& decoded)
    {
        if (!m_observer)
        {
            return;
        }
        const auto out = m_observer->handle(m_now, message.sender, decoded);
        for (const membership_send& each : out.sends)
        {
            ASSERT_TRUE(m_control.send(message.connection,
                                       message_channel::membership,
                                       each.message.SerializeAsString()));
        }
    }

    void play(duration time)
    {
        for (duration done{}; done < time; done += round_time)
        {
            play_round();
        }
    }

    bool play_until(const std::function<bool()>& done)
    {
        for (int round = 0; round < most_rounds && !done(); ++round)
        {
            play_round();
        }
        return done();
    }

    // Whether the observer holds the record within a bounded time, and the node
    // knows that.
    bool play_until_held(std::uint64_t started, upstream_state state)
    {
        return play_until(
            [this, started, state]
            { return is_held_as(started, state) && m_node->settled(); });
    }

    const upstream_record* record() const
    {
        return m_observer ? m_observer->find(number, name) : nullptr;
    }

    bool is_held_as(std::uint64_t started, upstream_state state) const
    {
        const upstream_record* held = record();
        return held != nullptr && held->started.value() == started &&
               held->state == state;
    }

    // The agent of a running upstream announced it, and was stopped.
    void stop_former_agent()
    {
        want(running);
        ASSERT_TRUE(play_until_held(running, upstream_state::ready));
        m_board.phase.set(stop_phase::draining);
        want(running, upstream_state::draining);
        ASSERT_TRUE(play_until([this] { return m_node->settled(); }));
        m_board.phase.set(stop_phase::leaving);
        play(std::chrono::seconds(1));
    }

    zmq::context_t m_zmq;
    router_socket m_control =
        *router_socket::bind(m_zmq, any_port(), std::nullopt, "");
    log_sink m_log{stdout, log_format::key_value, log_level::error, 16};
    wake_event m_wake;
    time_point m_now{std::chrono::hours(1)};
    std::optional<observer> m_observer = new_observer(m_now);
    blackboard m_board;
    std::uint64_t m_sequence = 0;
    std::unique_ptr<control_links> m_links;
    std::unique_ptr<node_controller> m_node;
    std::vector<std::uint64_t> m_announced;
    // Every start under which the observer held the upstream.
    std::set<std::uint64_t> m_held;
};

// Other agents would take its open flows for lost and reset them.
TEST_F(restarted_node, stopped_agent_leaves_its_upstream_draining)
{
    stop_former_agent();
    EXPECT_TRUE(is_held_as(running, upstream_state::draining));
    EXPECT_TRUE(m_node->settled());
}

// An upstream that has ended is announced as such, also by an agent that stops.
TEST_F(restarted_node, stopped_agent_announces_the_end_of_its_upstream)
{
    want(running);
    ASSERT_TRUE(play_until_held(running, upstream_state::ready));
    m_board.phase.set(stop_phase::draining);
    want(running, upstream_state::gone);
    m_board.phase.set(stop_phase::leaving);
    ASSERT_TRUE(play_until_held(running, upstream_state::gone));
    EXPECT_FALSE(record()->expired);
}

// A host that does not return: its upstream is silent after the lease, not
// ended, and takes no new flow.
TEST_F(restarted_node, lease_of_a_stopped_agent_runs_out)
{
    stop_former_agent();
    m_node.reset();
    for (int round = 0; round < 100; ++round)
    {
        m_now += round_time;
        (void)m_observer->tick(m_now);
    }
    ASSERT_TRUE(is_held_as(running, upstream_state::gone));
    EXPECT_TRUE(record()->expired);
}

TEST_F(restarted_node, upstream_keeps_its_incarnation)
{
    stop_former_agent();
    start_node();
    // Found by its agent, before its first announcement.
    want(unreported_start);
    play(std::chrono::seconds(2));
    EXPECT_TRUE(is_held_as(running, upstream_state::draining));
    want(running);
    EXPECT_TRUE(play_until_held(running, upstream_state::ready));
    play(std::chrono::seconds(10));
    EXPECT_TRUE(is_held_as(running, upstream_state::ready));
    EXPECT_TRUE(m_node->settled());
    EXPECT_EQ(m_held, std::set<std::uint64_t>{running});
}

// The start is reported while the first announcement is unanswered.
TEST_F(restarted_node, start_is_reported_before_the_first_answer)
{
    stop_former_agent();
    start_node();
    want(unreported_start);
    m_node->advance(m_now, m_board);
    m_now += std::chrono::seconds(1);
    m_node->advance(m_now, m_board);
    want(running);
    EXPECT_TRUE(play_until_held(running, upstream_state::ready));
    play(std::chrono::seconds(10));
    EXPECT_EQ(m_held, std::set<std::uint64_t>{running});
}

// The agent returns after its lease has run out.
TEST_F(restarted_node, upstream_returns_after_its_lease)
{
    stop_former_agent();
    for (int round = 0; round < 100; ++round)
    {
        m_now += round_time;
        (void)m_observer->tick(m_now);
    }
    ASSERT_TRUE(record()->expired);
    start_node();
    want(unreported_start);
    play(std::chrono::seconds(1));
    want(running);
    EXPECT_TRUE(play_until_held(running, upstream_state::ready));
    EXPECT_EQ(m_held, std::set<std::uint64_t>{running});
}

// Another upstream under the same name runs when the agent is back.
TEST_F(restarted_node, upstream_that_restarted_replaces_the_former_one)
{
    stop_former_agent();
    start_node();
    want(unreported_start);
    play(std::chrono::seconds(1));
    want(running + 1000);
    EXPECT_TRUE(play_until_held(running + 1000, upstream_state::ready));
}

// The agent runs on while its upstream restarts under the same name.
TEST_F(restarted_node, next_incarnation_of_an_accepted_upstream_is_announced)
{
    want(running);
    ASSERT_TRUE(play_until_held(running, upstream_state::ready));
    want(running + 1000);
    EXPECT_TRUE(play_until_held(running + 1000, upstream_state::ready));
}

// The upstream ended while its agent was down: nothing keeps it as living.
TEST_F(restarted_node, ended_upstream_does_not_return)
{
    stop_former_agent();
    start_node();
    play(std::chrono::seconds(10));
    EXPECT_TRUE(is_held_as(running, upstream_state::gone));
    EXPECT_TRUE(m_announced.empty() || m_announced.back() == running);
}

// The same, and a health check found it before its port was closed.
TEST_F(restarted_node, ended_upstream_that_was_found_does_not_return)
{
    stop_former_agent();
    start_node();
    want(unreported_start);
    play(std::chrono::seconds(1));
    want(unreported_start, upstream_state::gone);
    play(std::chrono::seconds(20));
    EXPECT_TRUE(is_held_as(running, upstream_state::gone));
    EXPECT_EQ(m_held, std::set<std::uint64_t>{running});
}

// All control hosts are down when the agent returns, and know nothing when they
// are back.
TEST_F(restarted_node, control_is_down_when_the_agent_returns)
{
    stop_former_agent();
    m_observer.reset();
    start_node();
    want(unreported_start);
    play(std::chrono::seconds(5));
    want(running);
    play(std::chrono::seconds(5));
    EXPECT_FALSE(m_node->settled());
    m_observer = new_observer(m_now);
    EXPECT_TRUE(play_until_held(running, upstream_state::ready));
    EXPECT_EQ(m_held, std::set<std::uint64_t>{running});
}

// Observers restart while an agent is stopped: the agent that returns is the
// first one that announces its upstream to them.
TEST_F(restarted_node, observers_restart_while_the_agent_is_stopped)
{
    stop_former_agent();
    m_observer = new_observer(m_now);
    start_node();
    want(unreported_start);
    play(std::chrono::seconds(2));
    want(running);
    EXPECT_TRUE(play_until_held(running, upstream_state::ready));
    play(std::chrono::seconds(10));
    EXPECT_TRUE(is_held_as(running, upstream_state::ready));
    EXPECT_TRUE(m_node->settled());
}

// Observers lose the record while the agent drains: it is announced again, and
// as draining.
TEST_F(restarted_node, observers_restart_while_the_agent_drains)
{
    want(running);
    ASSERT_TRUE(play_until_held(running, upstream_state::ready));
    m_board.phase.set(stop_phase::draining);
    want(running, upstream_state::draining);
    m_observer = new_observer(m_now);
    EXPECT_TRUE(play_until_held(running, upstream_state::draining));
    m_board.phase.set(stop_phase::leaving);
    play(std::chrono::seconds(5));
    EXPECT_TRUE(is_held_as(running, upstream_state::draining));
}

// Deployments whose upstreams never report a start.
TEST_F(restarted_node, upstream_without_a_start_is_announced_again)
{
    want(unreported_start);
    ASSERT_TRUE(play_until_held(unreported_start, upstream_state::ready));
    m_board.phase.set(stop_phase::draining);
    want(unreported_start, upstream_state::draining);
    ASSERT_TRUE(play_until_held(unreported_start, upstream_state::draining));
    start_node();
    want(unreported_start);
    EXPECT_TRUE(play_until_held(unreported_start, upstream_state::ready));
    play(std::chrono::seconds(10));
    EXPECT_EQ(m_held, std::set<std::uint64_t>{unreported_start});
}

// The wall clock of the host was set back while the agent was down.
TEST_F(restarted_node, upstream_returns_although_the_clock_was_set_back)
{
    m_sequence = 3'600'000;
    stop_former_agent();
    start_node();
    m_sequence = 0;
    want(unreported_start);
    play(std::chrono::seconds(1));
    want(running);
    EXPECT_TRUE(play_until_held(running, upstream_state::ready));
    EXPECT_EQ(m_held, std::set<std::uint64_t>{running});
}

// An agent of an earlier release raised the incarnation. The upstream must stay
// in service after the upgrade, and not be announced over and over.
TEST_F(restarted_node, upstream_with_a_raised_incarnation_returns)
{
    want(running + 1);
    ASSERT_TRUE(play_until_held(running + 1, upstream_state::ready));
    start_node();
    want(unreported_start);
    play(std::chrono::seconds(1));
    want(running);
    EXPECT_TRUE(play_until_held(running + 2, upstream_state::ready));
    const std::size_t announced = m_announced.size();
    want(running, upstream_state::draining);
    EXPECT_TRUE(play_until_held(running + 2, upstream_state::draining));
    EXPECT_EQ(m_announced.size(), announced + 1);
}

} // namespace

} // namespace crowlink::internal
