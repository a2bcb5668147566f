#include "balancer/balancer_thread.hpp"

#include "crowlink/platform/flow_packet_port.hpp"
#include "crowlink/platform/wire_packet.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <vector>

namespace crowlink::internal
{
namespace
{

using bytes_type = std::vector<std::uint8_t>;
using std::chrono::milliseconds;

constexpr std::uint8_t opens = 32;
constexpr std::uint8_t acknowledges = 8;
constexpr std::size_t data_bytes = 1200;
// 0.9 of it are 45 bytes a millisecond: a full packet takes about 30 ms.
constexpr double link_mbps = 0.4;

const endpoint service_address = *endpoint::parse("198.18.0.1:443");
const route_terms upload_terms{request_class::upload, milliseconds(4000),
                               milliseconds(800), 2};

udp_socket bound(const char* address)
{
    return std::move(*udp_socket::bind(*endpoint::parse(address)));
}

// An entry host between a caller and an agent, by loopback sockets.
class entry_host : public testing::Test
{
protected:
    entry_host()
        : m_caller(bound("127.0.0.2:0"))
        , m_agent(bound("127.0.0.1:0"))
        , m_agent_batch(64, 2048)
        , m_caller_batch(64, 2048)
    {
        m_agent_poller.add(m_agent.handle(), 0);
        m_caller_poller.add(m_caller.handle(), 0);
    }

    void start(std::optional<double> link,
               const std::optional<route_terms>& terms)
    {
        service_view view;
        view.version = config_version(1);
        view.declared.id = service_id(1);
        view.declared.protocol = transport::tcp;
        view.declared.shares = {address_share{service_address, 1, terms}};
        upstream_record record;
        record.id = upstream_id("u");
        record.service = view.declared.id;
        record.agent = m_agent.local();
        view.members.push_back(record);
        m_sets.publish(forwarding_set::with_changes(forwarding_set::empty(),
                                                    std::span(&view, 1), {}));
        // Callers get answers at their own address and the balancer's port.
        const endpoint listen{*ip_address::parse("127.0.0.1"),
                              m_caller.local().port};
        m_entry = listen;
        std::vector<udp_socket> callers;
        callers.push_back(std::move(*udp_socket::bind(listen)));
        m_thread = std::make_unique<thread_type>(
            platform::flow_packet_port(listen), std::move(callers),
            bound("127.0.0.1:0"), key_ring(), m_sets, m_log, log_settings(),
            link);
    }

    void send(std::uint16_t flow, std::uint8_t flags, std::size_t data,
              std::uint8_t number = 0)
    {
        bytes_type bytes(platform::wire_packet::header_bytes + data);
        const std::uint16_t port = 40'000 + flow;
        const auto size = static_cast<std::uint16_t>(data);
        const bytes_type ends{198,
                              18,
                              0,
                              1,
                              127,
                              0,
                              0,
                              2,
                              static_cast<std::uint8_t>(port >> 8),
                              static_cast<std::uint8_t>(port),
                              443 >> 8,
                              443 & 255,
                              static_cast<std::uint8_t>(size >> 8),
                              static_cast<std::uint8_t>(size)};
        bytes[0] = flags;
        // The copy's number of an opening packet; else it tells packets apart.
        bytes[8] = number;
        std::copy(ends.begin(), ends.end(), bytes.begin() + 17);
        ASSERT_TRUE(m_caller.send(bytes, m_entry));
    }

    // How many packets reach the agent: waits for as many as are expected,
    // however busy the machine is, and takes what came beside them.
    std::size_t packets_at_agent(std::size_t expected)
    {
        std::size_t count = 0;
        while (!m_agent_poller.wait(patience(count, expected)).empty())
        {
            count += m_agent.receive(m_agent_batch);
            m_last_arrival = m_clock.now();
        }
        return count;
    }

    // The same for resets that reach the caller.
    std::size_t resets_at_caller(std::size_t expected)
    {
        std::size_t resets = 0;
        while (!m_caller_poller.wait(patience(resets, expected)).empty())
        {
            const std::size_t count = m_caller.receive(m_caller_batch);
            for (std::size_t at = 0; at < count; ++at)
            {
                const auto packet =
                    platform::decode_packet(m_caller_batch.bytes(at));
                resets += packet && packet->flags.resets ? 1 : 0;
            }
        }
        return resets;
    }

    static milliseconds patience(std::size_t count, std::size_t expected)
    {
        constexpr milliseconds until_expected(10'000);
        return count < expected ? until_expected : milliseconds(0);
    }

    using thread_type = balancer_thread<platform::flow_packet_port>;

    steady_clock_source m_clock;
    time_point m_last_arrival{};
    udp_socket m_caller;
    udp_socket m_agent;
    datagram_batch m_agent_batch;
    datagram_batch m_caller_batch;
    poller m_agent_poller;
    poller m_caller_poller;
    endpoint m_entry;
    log_sink m_log{stderr, log_format::key_value, log_level::error};
    snapshot_slot<forwarding_set> m_sets;
    std::unique_ptr<thread_type> m_thread;
};

// The thread must wake for what waits, with nothing else arriving.
TEST_F(entry_host, paces_what_it_sends_and_sends_all_of_it)
{
    start(link_mbps, upload_terms);
    const time_point start = m_clock.now();
    for (std::uint8_t number = 0; number < 5; ++number)
    {
        send(1, acknowledges, data_bytes, number);
    }
    EXPECT_EQ(packets_at_agent(5), 5U);
    // The first goes at once, and each delays the next by about 30 ms.
    EXPECT_GT(m_last_arrival - start, milliseconds(80));
}

TEST_F(entry_host, refuses_an_upload_that_does_not_fit_but_never_a_copy)
{
    start(link_mbps, upload_terms);
    for (std::uint16_t flow = 1; flow <= 5; ++flow)
    {
        send(flow, opens, 0);
    }
    EXPECT_EQ(resets_at_caller(4), 4U);
    EXPECT_EQ(packets_at_agent(1), 1U);
    send(6, opens, 0, 1);
    EXPECT_EQ(packets_at_agent(1), 1U);
    EXPECT_EQ(resets_at_caller(0), 0U);
}

TEST_F(entry_host, without_the_setting_everything_is_sent_at_once)
{
    start(std::nullopt, upload_terms);
    for (std::uint16_t flow = 1; flow <= 5; ++flow)
    {
        send(flow, opens, 0);
        send(flow, acknowledges, data_bytes, 1);
        send(flow, acknowledges, data_bytes, 2);
    }
    EXPECT_EQ(packets_at_agent(15), 15U);
    EXPECT_EQ(resets_at_caller(0), 0U);
}

// 10 full packets, of which the pace would let through one in 30 ms and the
// bounds of the queue would drop most.
TEST_F(entry_host, without_terms_everything_is_sent_at_once)
{
    start(link_mbps, std::nullopt);
    for (std::uint16_t flow = 1; flow <= 10; ++flow)
    {
        send(flow, opens, 0);
        send(flow, acknowledges, data_bytes);
    }
    EXPECT_EQ(packets_at_agent(20), 20U);
    EXPECT_EQ(resets_at_caller(0), 0U);
}

} // namespace
} // namespace crowlink::internal
