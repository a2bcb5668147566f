#include "crowlink/transport.hpp"

#include <cstring>
#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

constexpr std::chrono::seconds longest_wait(20);

std::size_t receive_all(const udp_socket& socket, datagram_batch& batch)
{
    poller waiting;
    waiting.add(socket.handle(), 1);
    return waiting.wait(longest_wait).empty() ? 0 : socket.receive(batch);
}

void append(datagram_batch& batch, std::string_view text, const endpoint& to)
{
    std::memcpy(batch.next().data(), text.data(), text.size());
    batch.commit(text.size(), to);
}

std::string text_of(std::span<const std::uint8_t> bytes)
{
    return std::string(bytes.begin(), bytes.end());
}

TEST(udp_socket, sends_and_receives_batches_over_both_families)
{
    for (const char* address : {"127.0.0.1:0", "[::1]:0"})
    {
        const endpoint any_port = *endpoint::parse(address);
        const auto server = udp_socket::bind(any_port);
        const auto client = udp_socket::bind(any_port);
        ASSERT_TRUE(server && client) << address;
        datagram_batch batch(4, 16);
        append(batch, "one", server->local());
        append(batch, "two", server->local());
        EXPECT_EQ(client->send(batch).sent, 2U);
        EXPECT_EQ(batch.size(), 0U);
        ASSERT_EQ(receive_all(*server, batch), 2U);
        EXPECT_EQ(text_of(batch.bytes(0)), "one");
        EXPECT_EQ(text_of(batch.bytes(1)), "two");
        EXPECT_EQ(batch.peer(1), client->local());
    }
}

TEST(udp_socket, connected_ones_hear_their_peer_only)
{
    const endpoint any_port = *endpoint::parse("127.0.0.1:0");
    const auto peer = udp_socket::bind(any_port);
    const auto stranger = udp_socket::bind(any_port);
    const auto connected = udp_socket::connect(peer->local());
    ASSERT_TRUE(connected);
    const std::string text = "hello";
    const std::span bytes(reinterpret_cast<const std::uint8_t*>(text.data()),
                          text.size());
    ASSERT_TRUE(stranger->send(bytes.first(1), connected->local()));
    ASSERT_TRUE(peer->send(bytes, connected->local()));
    datagram_batch batch;
    ASSERT_EQ(receive_all(*connected, batch), 1U);
    EXPECT_EQ(text_of(batch.bytes(0)), text);
}

TEST(udp_socket, tells_that_the_peers_port_is_closed)
{
    auto peer = udp_socket::bind(*endpoint::parse("127.0.0.1:0"));
    const auto connected = udp_socket::connect(peer->local());
    ASSERT_TRUE(connected);
    peer = fail(error_kind::unavailable, "", "closed");
    ASSERT_TRUE(connected->send(std::vector<std::uint8_t>(1)));
    datagram_batch batch;
    EXPECT_EQ(receive_all(*connected, batch), 0U);
    EXPECT_TRUE(batch.peer_refused());
    EXPECT_EQ(connected->receive(batch), 0U);
    EXPECT_FALSE(batch.peer_refused());
}

TEST(udp_socket, tells_truncated_datagrams)
{
    const endpoint any_port = *endpoint::parse("127.0.0.1:0");
    const auto server = udp_socket::bind(any_port);
    const auto client = udp_socket::connect(server->local());
    const std::vector<std::uint8_t> large(20);
    ASSERT_TRUE(client->send(large));
    datagram_batch batch(1, 16);
    ASSERT_EQ(receive_all(*server, batch), 1U);
    EXPECT_TRUE(batch.truncated(0));
}

TEST(udp_socket, shares_an_address_only_when_asked)
{
    const auto any_port = *endpoint::parse("127.0.0.1:0");
    const auto first = udp_socket::bind(any_port, udp_socket::sharing::shared);
    ASSERT_TRUE(first);
    EXPECT_TRUE(udp_socket::bind(first->local(), udp_socket::sharing::shared));
    const auto refused = udp_socket::bind(first->local());
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().place, first->local().to_string());
}

TEST(wake_event, is_one_signal_until_it_is_taken)
{
    const wake_event event;
    EXPECT_FALSE(event.take());
    event.signal();
    event.signal();
    poller waiting;
    waiting.add(event.handle(), 7);
    ASSERT_EQ(waiting.wait(longest_wait).size(), 1U);
    EXPECT_TRUE(event.take());
    EXPECT_FALSE(event.take());
}

} // namespace
} // namespace crowlink
