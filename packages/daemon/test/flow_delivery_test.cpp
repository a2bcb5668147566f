#include "agent/flow_delivery.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

const endpoint any_port = *endpoint::parse("127.0.0.1:0");
const flow_key flow{*endpoint::parse("127.0.0.1:40001"),
                    *endpoint::parse("198.18.0.1:443"), transport::tcp};

constexpr std::uint8_t opens = 32;
constexpr std::uint8_t acknowledges = 8;

// A caller's packet: only the fields that a delivery reads.
std::vector<std::uint8_t> packet(std::uint8_t flags, std::uint8_t sequence,
                                 std::uint16_t size)
{
    constexpr std::size_t sequence_end = 4;
    constexpr std::size_t size_start = 29;
    std::vector<std::uint8_t> bytes(platform::wire_packet::header_bytes +
                                    std::size_t{size});
    bytes[0] = flags;
    bytes[sequence_end] = sequence;
    bytes[size_start] = static_cast<std::uint8_t>(size >> 8U);
    bytes[size_start + 1] = static_cast<std::uint8_t>(size);
    return bytes;
}

class delivery : public testing::Test
{
protected:
    delivery()
        : m_upstream(*udp_socket::bind(any_port))
        , m_core(*udp_socket::bind(any_port), m_upstream.local(), 9, m_poller,
                 1)
    {
    }

    std::uint32_t started_by(const std::vector<std::uint8_t>& bytes)
    {
        EXPECT_TRUE(m_core.deliver(flow, bytes));
        return m_core.take_work(time_point()).started;
    }

    udp_socket m_upstream;
    poller m_poller;
    flow_delivery m_core;
};

TEST_F(delivery, an_opening_and_its_request_are_one_piece_of_work)
{
    EXPECT_EQ(started_by(packet(opens, 1, 0)), 1U);
    EXPECT_EQ(started_by(packet(acknowledges, 2, 10)), 0U);
    m_core.close(flow);
    EXPECT_EQ(m_core.take_work(time_point()).given_up, 1U);
}

// After an outage callers repeat what was answered meanwhile. Counted as work,
// it kept an agent full until the flow was forgotten ten seconds later.
TEST_F(delivery, what_comes_again_is_no_new_work)
{
    EXPECT_EQ(started_by(packet(acknowledges, 2, 10)), 1U);
    m_core.answer_came(flow);
    EXPECT_EQ(m_core.take_work(time_point()).completed, 1U);
    EXPECT_EQ(started_by(packet(acknowledges, 2, 10)), 0U);
    EXPECT_EQ(started_by(packet(opens, 1, 0)), 0U);
    // The next request on the same connection is.
    EXPECT_EQ(started_by(packet(acknowledges, 12, 10)), 1U);
}

// An agent that restarted sees a request again whose answer has passed already.
TEST_F(delivery, work_ends_with_the_upstreams_side_of_the_flow)
{
    EXPECT_EQ(started_by(packet(acknowledges, 2, 10)), 1U);
    m_core.upstream_ended(flow);
    EXPECT_EQ(m_core.take_work(time_point()).completed, 1U);
    m_core.close(flow);
    EXPECT_EQ(m_core.take_work(time_point()).given_up, 0U);
}

// While an entry host is down its callers open connections and their requests
// are lost. Counted as work for a second and a half, they made agents refuse
// new connections with their slots free.
TEST_F(delivery, connection_without_its_request_is_work_for_one_round_trip)
{
    const time_point start{std::chrono::hours(1)};
    (void)m_core.take_work(start);
    EXPECT_TRUE(m_core.deliver(flow, packet(opens, 1, 0)));
    const std::chrono::milliseconds round_trip(40);
    EXPECT_EQ(m_core.take_work(start + round_trip).given_up, 0U);
    const std::chrono::milliseconds before_repetition(190);
    EXPECT_EQ(m_core.take_work(start + before_repetition).given_up, 1U);
    // The caller's repeated request counts again.
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, 10)));
    EXPECT_EQ(m_core.take_work(start + before_repetition).started, 1U);
}

TEST_F(delivery, work_that_nobody_waits_for_any_more_is_given_up)
{
    const time_point start{std::chrono::hours(1)};
    (void)m_core.take_work(start);
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, 10)));
    const std::chrono::milliseconds just_before(2900);
    EXPECT_EQ(m_core.take_work(start + just_before).given_up, 0U);
    const std::chrono::milliseconds after(3300);
    EXPECT_EQ(m_core.take_work(start + after).given_up, 1U);
}

// Counted from the opening packet, the service time would contain the round
// trip to the caller.
TEST_F(delivery, a_request_runs_from_the_arrival_of_its_data)
{
    EXPECT_TRUE(m_core.deliver(flow, packet(opens, 1, 0)));
    EXPECT_EQ(m_core.take_work(time_point()).running, 0U);
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, 10)));
    EXPECT_EQ(m_core.take_work(time_point()).running, 1U);
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, 10)));
    EXPECT_EQ(m_core.take_work(time_point()).running, 1U);
    m_core.answer_came(flow);
    const work_change done = m_core.take_work(time_point());
    EXPECT_EQ(done.running, 0U);
    EXPECT_EQ(done.requests_completed, 1U);
    EXPECT_EQ(m_core.take_work(time_point()).requests_completed, 0U);
}

// An upload over a slow link takes seconds, of which the upstream works
// milliseconds.
TEST_F(delivery, a_large_request_runs_from_the_arrival_of_its_last_packet)
{
    constexpr std::uint16_t full = platform::wire_packet::most_data_bytes;
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, full)));
    const work_change sending = m_core.take_work(time_point());
    EXPECT_EQ(sending.started, 0U);
    EXPECT_EQ(sending.running, 0U);
    std::vector<std::uint8_t> last = packet(acknowledges, 0, 10);
    last[3] = (full + 2) >> 8U;
    last[4] = (full + 2) & 0xffU;
    EXPECT_TRUE(m_core.deliver(flow, last));
    const work_change whole = m_core.take_work(time_point());
    EXPECT_EQ(whole.started, 1U);
    EXPECT_EQ(whole.running, 1U);
    m_core.answer_came(flow);
    EXPECT_EQ(m_core.take_work(time_point()).requests_completed, 1U);
}

// Uploads reach an upstream through slow links: counted as work while their
// bodies arrive, a few of them would keep every slot busy that is free.
TEST_F(delivery, body_on_its_way_is_no_work)
{
    constexpr std::uint16_t whole = 1200;
    const time_point start{std::chrono::hours(1)};
    (void)m_core.take_work(start);
    EXPECT_TRUE(m_core.deliver(flow, packet(opens, 1, 0)));
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, whole)));
    const work_change arriving = m_core.take_work(start);
    EXPECT_EQ(arriving.started, 1U);
    EXPECT_EQ(arriving.given_up, 1U);
    // The last packet of the body, 1,200 bytes later.
    auto last = packet(acknowledges, 0, 10);
    last[3] = 4;
    last[4] = 178;
    EXPECT_TRUE(m_core.deliver(flow, last));
    EXPECT_EQ(m_core.take_work(start).started, 1U);
    m_core.answer_came(flow);
    EXPECT_EQ(m_core.take_work(start).completed, 1U);
}

// What ends without an answer says nothing about the service time.
TEST_F(delivery, a_request_that_is_given_up_has_not_completed)
{
    EXPECT_TRUE(m_core.deliver(flow, packet(opens, 1, 0)));
    EXPECT_TRUE(m_core.deliver(flow, packet(acknowledges, 2, 10)));
    m_core.close(flow);
    const work_change done = m_core.take_work(time_point());
    EXPECT_EQ(done.running, 0U);
    EXPECT_EQ(done.requests_completed, 0U);
    EXPECT_EQ(done.given_up, 1U);
}

} // namespace

} // namespace crowlink::internal
