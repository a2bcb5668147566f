#include "control/relay_controller.hpp"

#include "control/node_controller.hpp"
#include "crowlink/replication/message_codec.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

// Rounds of 100 ms at most; a run that passes needs a few.
constexpr int most_rounds = 300;
constexpr std::chrono::milliseconds patience(100);

const host_id leader("127.0.0.5");

// `peer_port` is where hosts listen to each other.
daemon_settings relay_settings(std::uint16_t peer_port)
{
    daemon_settings made;
    made.host =
        host_settings{host_id("127.0.0.1"), place_id("p"), region_id("r")};
    made.is_network_trusted = true;
    made.operator_relay = *endpoint::parse("127.0.0.1:0");
    made.seeds = seed_settings{};
    made.seeds->peer_port = peer_port;
    return made;
}

// A relay in this process, and others that connect to it over loopback.
class relay : public testing::Test
{
protected:
    relay()
        : m_links(*control_links::open(m_zmq, m_settings, identity(), nullptr))
        , m_node(m_settings, *m_links, m_log, {}, 1, time_point())
        , m_core(m_settings.host.name, *m_links, m_log)
    {
    }

    dealer_socket connect(const host_id& name, const endpoint& to)
    {
        return *dealer_socket::connect(m_zmq, name, to, std::nullopt, "");
    }

    // Lets the relay handle messages until `done` or for a bounded time.
    template <class Done>
    bool serve_until(const Done& done)
    {
        for (int round = 0; round < most_rounds && !done(); ++round)
        {
            m_links->wait(patience, m_wake);
            while (const auto message = m_links->next())
            {
                m_core.handle(*message, m_node);
            }
        }
        return done();
    }

    void say(dealer_socket& as_leader, replication::message_body body)
    {
        replication::replica_message message;
        message.from = leader;
        message.to = m_settings.host.name;
        message.body = std::move(body);
        ASSERT_TRUE(as_leader.send(message_channel::replication,
                                   replication::encode_message(message)));
    }

    void say_hello(dealer_socket& as_leader)
    {
        say(as_leader, replication::hello{false});
    }

    // What the leader's own address got so far.
    std::optional<replication::founding_reply> next_reply()
    {
        const auto received = m_leader.receive();
        if (!received)
        {
            return std::nullopt;
        }
        const auto decoded = replication::decode_message(received->bytes);
        const auto* body =
            std::get_if<replication::founding_reply>(&decoded->body);
        return body == nullptr ? std::nullopt : std::optional(*body);
    }

    zmq::context_t m_zmq;
    router_socket m_leader = *router_socket::bind(
        m_zmq, *endpoint::parse(leader.value() + ":0"), std::nullopt, "");
    daemon_settings m_settings = relay_settings(m_leader.local().port);
    log_sink m_log{stdout, log_format::key_value, log_level::error, 16};
    wake_event m_wake;
    std::unique_ptr<control_links> m_links;
    node_controller m_node;
    relay_controller m_core;
};

TEST_F(relay, tells_nodes_of_control_hosts_that_said_hello)
{
    dealer_socket as_leader = connect(leader, *m_links->peer_address());
    say_hello(as_leader);
    ASSERT_TRUE(serve_until([&] { return !m_node.learned().empty(); }));
    EXPECT_EQ(m_node.learned(), std::vector{leader});

    dealer_socket node = connect(host_id("n"), *m_links->node_address());
    wire::membership_message asked;
    asked.mutable_attach_request();
    ASSERT_TRUE(
        node.send(message_channel::membership, asked.SerializeAsString()));
    std::optional<dealer_socket::message> answer;
    ASSERT_TRUE(serve_until(
        [&]
        {
            answer = answer ? answer : node.receive();
            return answer.has_value();
        }));
    wire::membership_message told;
    ASSERT_TRUE(told.ParseFromString(answer->bytes));
    ASSERT_EQ(told.refused().control_hosts_size(), 1);
    EXPECT_EQ(told.refused().control_hosts(0), leader.value());
}

// After all hosts lost power nodes ask a relay before any control host is back.
TEST_F(relay, tells_nodes_that_asked_before_as_soon_as_it_knows)
{
    dealer_socket node = connect(host_id("n"), *m_links->node_address());
    wire::membership_message asked;
    asked.mutable_attach_request();
    ASSERT_TRUE(
        node.send(message_channel::membership, asked.SerializeAsString()));
    wire::membership_message told;
    int answers = 0;
    const auto has_answers = [&](int wanted)
    {
        const auto answer = node.receive();
        answers += answer && told.ParseFromString(answer->bytes) ? 1 : 0;
        return answers >= wanted;
    };
    ASSERT_TRUE(serve_until([&] { return has_answers(1); }));
    EXPECT_TRUE(told.refused().kept());
    EXPECT_EQ(told.refused().control_hosts_size(), 0);

    dealer_socket as_leader = connect(leader, *m_links->peer_address());
    say_hello(as_leader);
    ASSERT_TRUE(serve_until([&] { return has_answers(2); }));
    EXPECT_FALSE(told.refused().kept());
    ASSERT_EQ(told.refused().control_hosts_size(), 1);
    EXPECT_EQ(told.refused().control_hosts(0), leader.value());
}

// Guards against a first start that never ends because a seed is a relay.
TEST_F(relay, agrees_to_the_voters_of_a_log_that_is_founded)
{
    dealer_socket as_founder = connect(leader, *m_links->peer_address());
    replication::founding_request request;
    request.phase = replication::founding_phase::accept;
    request.ballot = replication::founding_ballot{1, leader, 7};
    request.voters = replication::membership(
        {{leader, replication::disk_id(9), replication::member_role::voter}});
    say(as_founder, request);
    std::optional<replication::founding_reply> reply;
    ASSERT_TRUE(serve_until(
        [&]
        {
            reply = reply ? reply : next_reply();
            return reply.has_value();
        }));
    EXPECT_EQ(reply->accepted, request.ballot);
    EXPECT_EQ(reply->voters, request.voters);
}

// Guards against a second log: a relay that started anew has forgotten which
// voters it agreed to.
TEST_F(relay, agrees_to_no_voters_once_it_knows_of_a_log)
{
    dealer_socket as_founder = connect(leader, *m_links->peer_address());
    say_hello(as_founder);
    say(as_founder, replication::founding_request{});
    ASSERT_TRUE(serve_until([&] { return !m_node.learned().empty(); }));
    // The request came with the hello; some more rounds handle it.
    int rounds = 0;
    serve_until([&] { return ++rounds > 5; });
    EXPECT_FALSE(next_reply());
}

TEST_F(relay, takes_a_hello_from_its_own_sender_alone)
{
    dealer_socket other = connect(host_id("x"), *m_links->peer_address());
    say_hello(other);
    dealer_socket as_leader = connect(leader, *m_links->peer_address());
    // Whatever came first was handled by the time that this one is.
    say_hello(as_leader);
    ASSERT_TRUE(serve_until([&] { return !m_node.learned().empty(); }));
    EXPECT_EQ(m_node.learned(), std::vector{leader});
}

} // namespace

} // namespace crowlink::internal
