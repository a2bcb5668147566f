#include "packet_builder.hpp"

#include <gtest/gtest.h>
#include <random>

namespace crowlink
{
namespace
{

using sample::at;
using sample::bytes;

constexpr std::uint8_t fin = 1;
constexpr std::uint8_t syn = 2;
constexpr std::uint8_t rst = 4;
constexpr std::uint8_t ack = 16;

const endpoint local = at("10.0.0.1:5555");
const endpoint gateway = at("10.0.0.254:5555");
const ip_in_udp_port tunnel(local, gateway);

const std::array<flow_key, 2> udp_flows{sample::v4_flow(transport::udp),
                                        sample::v6_flow(transport::udp)};
const std::array<flow_key, 2> tcp_flows{sample::v4_flow(transport::tcp),
                                        sample::v6_flow(transport::tcp)};

tl::expected<caller_packet, packet_drop> parse(const bytes& packet)
{
    return tunnel.parse(received_datagram{gateway, local, packet});
}

bytes udp_request(const flow_key& flow, const bytes& payload)
{
    return sample::udp_packet(flow.caller, flow.service, payload);
}

bytes tcp_request(const flow_key& flow, std::uint8_t flags,
                  const bytes& payload = {})
{
    return sample::tcp_packet(flow.caller, flow.service, flags, payload);
}

bytes copy(std::span<const std::uint8_t> view)
{
    return bytes(view.begin(), view.end());
}

std::size_t ip_size(const flow_key& flow)
{
    return flow.caller.address.is_v4() ? 20 : 40;
}

TEST(ip_in_udp_port, reads_udp_flows_and_their_payload)
{
    for (const flow_key& flow : udp_flows)
    {
        for (const std::size_t size : {0U, 1U, 7U, 1400U})
        {
            const bytes payload(size, std::uint8_t{0xab});
            const bytes packet = udp_request(flow, payload);
            const auto read = parse(packet);
            ASSERT_TRUE(read.has_value());
            EXPECT_EQ(read->flow, flow);
            EXPECT_EQ(read->role, packet_role::any);
            EXPECT_EQ(copy(read->payload), payload);
        }
    }
}

TEST(ip_in_udp_port, reads_the_role_of_tcp_segments)
{
    const std::vector<std::pair<std::uint8_t, packet_role>> cases{
        {syn, packet_role::opens},
        {std::uint8_t{syn | ack}, packet_role::continues},
        {ack, packet_role::continues},
        {std::uint8_t{fin | ack}, packet_role::continues},
        {rst, packet_role::resets},
        {std::uint8_t{rst | ack}, packet_role::resets}};
    for (const flow_key& flow : tcp_flows)
    {
        for (const auto& [flags, role] : cases)
        {
            const bytes packet = tcp_request(flow, flags);
            const auto read = parse(packet);
            ASSERT_TRUE(read.has_value());
            EXPECT_EQ(read->flow, flow);
            EXPECT_EQ(read->role, role);
            EXPECT_EQ(copy(read->payload), packet);
        }
    }
}

TEST(ip_in_udp_port, passes_over_padding_and_ipv6_extensions)
{
    bytes padded = udp_request(udp_flows[0], {1, 2, 3});
    padded.insert(padded.end(), 9, 0);
    EXPECT_EQ(parse(padded)->payload.size(), 3U);
    bytes extended = tcp_request(tcp_flows[1], syn);
    const bytes options{6, 0, 1, 4, 0, 0, 0, 0};
    extended.insert(extended.begin() + 40, options.begin(), options.end());
    extended[6] = 60;
    sample::set_u16(extended, 4, extended.size() - 40);
    EXPECT_EQ(parse(extended)->flow, tcp_flows[1]);
}

TEST(ip_in_udp_port, every_cut_packet_is_truncated)
{
    for (const bytes& whole :
         {udp_request(udp_flows[0], {1, 2}), udp_request(udp_flows[1], {1, 2}),
          tcp_request(tcp_flows[0], syn), tcp_request(tcp_flows[1], syn)})
    {
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            const bytes cut(whole.begin(),
                            whole.begin() + std::ptrdiff_t(size));
            ASSERT_EQ(parse(cut).error(), packet_drop::truncated) << size;
        }
    }
}

// A packet with one byte changed; the checksum of an IPv4 header follows.
bytes changed(bytes packet, std::size_t place, std::uint8_t value)
{
    packet[place] = value;
    if (packet[0] >> 4U == 4 && place < 20)
    {
        sample::set_u16(packet, 10, 0);
        const bytes header(packet.begin(), packet.begin() + 20);
        sample::set_u16(packet, 10, sample::naive_checksum(header));
    }
    return packet;
}

TEST(ip_in_udp_port, drops_say_why)
{
    const bytes udp4 = udp_request(udp_flows[0], {1, 2});
    const bytes udp6 = udp_request(udp_flows[1], {1, 2});
    const bytes tcp4 = tcp_request(tcp_flows[0], ack);
    bytes damaged = udp4;
    // The hop limit, which only the header's own checksum covers.
    damaged[8] ^= 1U;
    const std::vector<std::pair<bytes, packet_drop>> cases{
        {changed(udp4, 6, 0x20), packet_drop::fragment},
        {changed(udp4, 7, 0x01), packet_drop::fragment},
        {changed(udp6, 6, 44), packet_drop::fragment},
        {changed(udp4, 9, 1), packet_drop::unsupported},
        {changed(udp6, 6, 58), packet_drop::unsupported},
        {changed(udp4, 0, 0x55), packet_drop::unsupported},
        {changed(udp4, 0, 0x44), packet_drop::malformed},
        {changed(udp4, 3, 0x10), packet_drop::malformed},
        {damaged, packet_drop::malformed},
        {changed(udp4, 25, 7), packet_drop::malformed},
        {changed(udp4, 29, 0xee), packet_drop::malformed},
        {changed(changed(udp6, 46, 0), 47, 0), packet_drop::malformed},
        {changed(changed(udp4, 20, 0), 21, 0), packet_drop::malformed},
        {changed(tcp4, 32, 0x40), packet_drop::malformed},
        {changed(tcp4, 33, syn | fin), packet_drop::malformed},
        {changed(tcp4, 33, syn | rst), packet_drop::malformed},
        {changed(tcp4, 32, 0xf0), packet_drop::truncated}};
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        const auto read = parse(cases[i].first);
        ASSERT_FALSE(read.has_value()) << i;
        EXPECT_EQ(read.error(), cases[i].second) << i;
    }
    // IPv4 allows a UDP datagram without a checksum.
    EXPECT_TRUE(parse(changed(changed(udp4, 26, 0), 27, 0)).has_value());
}

TEST(ip_in_udp_port, answers_udp_with_a_packet_from_the_service)
{
    for (const flow_key& flow : udp_flows)
    {
        for (const std::size_t size : {0U, 1U, 2U, 1401U})
        {
            const bytes payload(size, std::uint8_t{0x5c});
            bytes buffer(2000);
            const auto sent = tunnel.answer(flow, payload, buffer);
            ASSERT_TRUE(sent.has_value());
            EXPECT_EQ(sent->from, local);
            EXPECT_EQ(sent->to, gateway);
            EXPECT_EQ(copy(sent->bytes),
                      sample::udp_packet(flow.service, flow.caller, payload));
        }
        bytes small(27 + ip_size(flow) - 20);
        EXPECT_EQ(tunnel.answer(flow, {}, small).error(),
                  packet_drop::too_large);
    }
    const flow_key mixed{udp_flows[0].caller, udp_flows[1].service,
                         transport::udp};
    bytes buffer(100);
    EXPECT_EQ(tunnel.answer(mixed, {}, buffer).error(),
              packet_drop::not_expressible);
}

TEST(ip_in_udp_port, passes_on_tcp_answers_of_the_same_flow_only)
{
    for (const flow_key& flow : tcp_flows)
    {
        bytes buffer(100);
        const bytes right =
            sample::tcp_packet(flow.service, flow.caller, syn | ack, {});
        EXPECT_EQ(copy(tunnel.answer(flow, right, buffer)->bytes), right);
        endpoint other = flow.service;
        ++other.port;
        const bytes wrong = sample::tcp_packet(other, flow.caller, ack, {});
        EXPECT_EQ(tunnel.answer(flow, wrong, buffer).error(),
                  packet_drop::foreign);
    }
}

TEST(ip_in_udp_port, refuses_tcp_with_a_reset_that_the_caller_accepts)
{
    for (const flow_key& flow : tcp_flows)
    {
        const bytes request = tcp_request(flow, syn);
        const auto reset = reset_answering(request);
        ASSERT_TRUE(reset.has_value());
        EXPECT_EQ(*reset, (tcp_reset{0, 0x101}));
        const bytes data = tcp_request(flow, ack | fin, {1, 2, 3});
        EXPECT_EQ(*reset_answering(data), (tcp_reset{0x200, 0x104}));
        EXPECT_FALSE(reset_answering(tcp_request(flow, rst)).has_value());
        bytes buffer(100);
        const auto sent = tunnel.refuse(refusal{flow, 0x200, 0x104}, buffer);
        ASSERT_TRUE(sent.has_value());
        const auto read = parse(copy(sent->bytes));
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read->role, packet_role::resets);
        EXPECT_EQ(read->flow.caller, flow.service);
        EXPECT_EQ(read->flow.service, flow.caller);
        const bytes segment(sent->bytes.begin() + std::ptrdiff_t(ip_size(flow)),
                            sent->bytes.end());
        EXPECT_EQ(segment[6], 2);
        EXPECT_EQ(segment[10], 1);
        EXPECT_EQ(segment[11], 4);
        EXPECT_EQ(sample::naive_checksum(sample::with_pseudo_header(
                      flow.service, flow.caller, 6, segment)),
                  0);
    }
}

TEST(ip_in_udp_port, refuses_udp_with_port_unreachable_that_quotes_the_flow)
{
    for (const flow_key& flow : udp_flows)
    {
        const bool v4 = flow.caller.address.is_v4();
        bytes buffer(200);
        const auto sent = tunnel.refuse(refusal{flow}, buffer);
        ASSERT_TRUE(sent.has_value());
        const bytes packet = copy(sent->bytes);
        const bytes message(packet.begin() + std::ptrdiff_t(ip_size(flow)),
                            packet.end());
        EXPECT_EQ(packet[v4 ? 9 : 6], v4 ? 1 : 58);
        EXPECT_EQ(message[0], v4 ? 3 : 1);
        EXPECT_EQ(message[1], v4 ? 3 : 4);
        EXPECT_EQ(sample::naive_checksum(
                      v4 ? message
                         : sample::with_pseudo_header(flow.service, flow.caller,
                                                      58, message)),
                  0);
        const bytes quoted(message.begin() + 8, message.end());
        const bytes asked = udp_request(flow, {});
        EXPECT_TRUE(std::equal(quoted.begin(), quoted.end() - 2, asked.begin(),
                               asked.end() - 2));
    }
}

TEST(ip_in_udp_port, rubbish_never_crashes_and_never_reads_beyond_its_end)
{
    std::mt19937_64 random(20261202);
    const std::vector<bytes> corpus{
        udp_request(udp_flows[0], {1, 2, 3}), udp_request(udp_flows[1], {1}),
        tcp_request(tcp_flows[0], syn), tcp_request(tcp_flows[1], ack, {9})};
    std::size_t taken = 0;
    std::array<std::size_t, packet_drop_count> drops{};
    for (int round = 0; round < 100000; ++round)
    {
        bytes packet = corpus[random() % corpus.size()];
        for (std::size_t hits = random() % 5; hits > 0; --hits)
        {
            packet[random() % packet.size()] =
                static_cast<std::uint8_t>(random());
        }
        packet.resize(random() % 3 == 0 ? random() % packet.size()
                                        : packet.size());
        packet.shrink_to_fit();
        reset_answering(packet);
        const auto read = parse(packet);
        taken += read ? 1 : 0;
        if (!read)
        {
            ++drops[static_cast<std::size_t>(read.error())];
        }
    }
    EXPECT_GT(taken, 0U);
    EXPECT_GT(drops[static_cast<std::size_t>(packet_drop::truncated)], 0U);
    EXPECT_GT(drops[static_cast<std::size_t>(packet_drop::malformed)], 0U);
    EXPECT_GT(drops[static_cast<std::size_t>(packet_drop::unsupported)], 0U);
}

TEST(datagram_port, takes_the_flow_from_the_socket)
{
    const datagram_port port;
    const bytes payload{1, 2, 3};
    const flow_key flow = udp_flows[1];
    const auto read =
        port.parse(received_datagram{flow.caller, flow.service, payload});
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->flow, flow);
    EXPECT_EQ(copy(read->payload), payload);
    const auto sent = port.answer(flow, payload, {});
    EXPECT_EQ(sent->from, flow.service);
    EXPECT_EQ(sent->to, flow.caller);
    EXPECT_EQ(copy(sent->bytes), payload);
    EXPECT_EQ(port.refuse(refusal{flow}, {}).error(),
              packet_drop::not_expressible);
    EXPECT_EQ(port.answer(tcp_flows[0], payload, {}).error(),
              packet_drop::unsupported);
    EXPECT_EQ(port.parse(received_datagram{endpoint{flow.caller.address, 0},
                                           flow.service, payload})
                  .error(),
              packet_drop::malformed);
}

} // namespace
} // namespace crowlink
