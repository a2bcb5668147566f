#include "crowlink/transport.hpp"

#include <array>
#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace crowlink
{
namespace
{

const endpoint any_port = *endpoint::parse("127.0.0.1:0");
// Bounds a wait that ends early in every run that passes.
constexpr std::chrono::seconds longest_wait(20);

bool readable(zmq::socket_ref socket)
{
    std::array<zmq::pollitem_t, 1> items{
        zmq::pollitem_t{socket.handle(), 0, ZMQ_POLLIN, 0}};
    zmq::poll(
        items.data(), items.size(),
        std::chrono::duration_cast<std::chrono::milliseconds>(longest_wait));
    return (items[0].revents & ZMQ_POLLIN) != 0;
}

class secured : public testing::Test
{
protected:
    // Connects with a pair, and waits until the server judged it.
    void connect(const curve_key_pair& pair)
    {
        zmq::context_t client;
        auto made =
            dealer_socket::connect(client, host_id("n1"), m_server.local(),
                                   pair, m_server_pair.public_key);
        ASSERT_TRUE(made);
        // A refused handshake ends the connection.
        ASSERT_TRUE(readable(made->events()));
        EXPECT_TRUE(made->is_lost());
    }

    static key_grant grant(const curve_key_pair& pair, node_role role)
    {
        return key_grant{pair.public_key, host_id("h"), {role}, {}, false};
    }

    curve_key_pair m_server_pair = *curve_key_pair::generate();
    curve_key_pair m_agent = *curve_key_pair::generate();
    curve_key_pair m_control = *curve_key_pair::generate();
    zmq::context_t m_context;
    zap_authenticator m_authenticator{
        m_context, key_grants({grant(m_agent, node_role::agent_node),
                               grant(m_control, node_role::control_node)})};
    router_socket m_server = *router_socket::bind(
        m_context, any_port, m_server_pair, "balancer+agent");
};

TEST_F(secured, messages_carry_the_key_that_was_admitted)
{
    zmq::context_t client;
    auto dealer =
        dealer_socket::connect(client, host_id("n1"), m_server.local(), m_agent,
                               m_server_pair.public_key);
    ASSERT_TRUE(dealer);
    ASSERT_TRUE(dealer->send(message_channel::membership, "hello"));
    ASSERT_TRUE(readable(m_server.socket()));
    const auto received = m_server.receive();
    ASSERT_TRUE(received);
    EXPECT_EQ(received->bytes, "hello");
    EXPECT_EQ(received->public_key, m_agent.public_key);
    EXPECT_EQ(received->sender, host_id("n1"));
    EXPECT_FALSE(m_server.receive());

    ASSERT_TRUE(m_server.send(received->connection,
                              message_channel::replication, "back"));
    ASSERT_TRUE(readable(dealer->socket()));
    const auto back = dealer->receive();
    ASSERT_TRUE(back);
    EXPECT_EQ(back->bytes, "back");
    EXPECT_EQ(back->channel, message_channel::replication);
    EXPECT_EQ(m_authenticator.counted().admitted, 1U);
}

TEST_F(secured, a_stranger_is_refused_and_counted)
{
    connect(*curve_key_pair::generate());
    EXPECT_GE(m_authenticator.counted().strangers, 1U);
    EXPECT_EQ(m_authenticator.counted().admitted, 0U);
}

TEST_F(secured, a_key_of_another_role_is_refused_and_counted)
{
    connect(m_control);
    EXPECT_GE(m_authenticator.counted().wrong_role, 1U);
    EXPECT_EQ(m_authenticator.counted().admitted, 0U);
}

TEST_F(secured, a_revoked_key_is_refused_and_counted)
{
    key_grant revoked = grant(m_agent, node_role::agent_node);
    revoked.revoked = true;
    m_authenticator.replace(key_grants({revoked}));
    connect(m_agent);
    EXPECT_GE(m_authenticator.counted().revoked, 1U);
    EXPECT_EQ(m_authenticator.counted().admitted, 0U);
}

TEST(message_sockets, work_without_keys)
{
    zmq::context_t context;
    auto server = router_socket::bind(context, any_port, std::nullopt, "");
    ASSERT_TRUE(server);
    auto dealer = dealer_socket::connect(context, host_id("n1"),
                                         server->local(), std::nullopt, "");
    ASSERT_TRUE(dealer);
    ASSERT_TRUE(dealer->send(message_channel::membership, "x"));
    ASSERT_TRUE(readable(server->socket()));
    EXPECT_EQ(server->receive()->public_key, "");
    EXPECT_FALSE(server->send("nobody", message_channel::membership, "x"));
}

TEST(message_sockets, leave_out_malformed_messages)
{
    zmq::context_t context;
    auto server = router_socket::bind(context, any_port, std::nullopt, "");
    ASSERT_TRUE(server);
    auto dealer = dealer_socket::connect(context, host_id("n1"),
                                         server->local(), std::nullopt, "");
    ASSERT_TRUE(dealer);
    dealer->socket().send(zmq::str_buffer("alone"), zmq::send_flags::none);
    ASSERT_TRUE(dealer->send(message_channel::membership, "good"));
    std::optional<received_message> received;
    while (!received && readable(server->socket()))
    {
        received = server->receive();
    }
    EXPECT_EQ(received->bytes, "good");
    EXPECT_EQ(server->malformed(), 1U);
}

// Guards against a thread of ZeroMQ that waits for ever for the receiver of an
// event: the process then neither sends nor receives, and does not end.
TEST(message_sockets, closed_while_events_come_leave_others_working)
{
    constexpr int rounds = 2000;
    constexpr int different_waits = 64;
    auto context = std::make_unique<zmq::context_t>();
    for (int round = 0; round < rounds; ++round)
    {
        auto peer = router_socket::bind(*context, any_port, std::nullopt, "");
        auto dealer = dealer_socket::connect(*context, host_id("n1"),
                                             peer->local(), std::nullopt, "");
        ASSERT_TRUE(dealer) << to_string(dealer.error());
        ASSERT_TRUE(readable(dealer->events()));
        // Both ends close, and the event of the one comes as the other ends.
        peer = fail(error_kind::unavailable, "", "closed");
        for (int wait = 0; wait < round % different_waits; ++wait)
        {
            std::this_thread::yield();
        }
    }
    auto server = router_socket::bind(*context, any_port, std::nullopt, "");
    ASSERT_TRUE(server);
    auto dealer = dealer_socket::connect(*context, host_id("n1"),
                                         server->local(), std::nullopt, "");
    ASSERT_TRUE(dealer);
    ASSERT_TRUE(dealer->send(message_channel::membership, "x"));
    const bool works = readable(server->socket());
    EXPECT_TRUE(works);
    if (!works)
    {
        // It would never end.
        (void)context.release();
    }
}

TEST(message_sockets, tell_that_the_peer_is_gone)
{
    zmq::context_t context;
    auto server = router_socket::bind(context, any_port, std::nullopt, "");
    ASSERT_TRUE(server);
    auto dealer = dealer_socket::connect(context, host_id("n1"),
                                         server->local(), std::nullopt, "");
    ASSERT_TRUE(dealer);
    ASSERT_TRUE(dealer->send(message_channel::membership, "x"));
    ASSERT_TRUE(readable(server->socket()));
    // The handshake is an event too.
    ASSERT_TRUE(readable(dealer->events()));
    EXPECT_FALSE(dealer->is_lost());
    server = fail(error_kind::unavailable, "", "gone");
    ASSERT_TRUE(readable(dealer->events()));
    EXPECT_TRUE(dealer->is_lost());
}

TEST(message_sockets, an_address_in_use_is_an_error)
{
    zmq::context_t context;
    auto first = router_socket::bind(context, any_port, std::nullopt, "");
    ASSERT_TRUE(first);
    EXPECT_FALSE(
        router_socket::bind(context, first->local(), std::nullopt, ""));
}

} // namespace
} // namespace crowlink
