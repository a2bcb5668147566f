#include "crowlink/balancer.hpp"

#include "counting_allocator.hpp"

#include "crowlink/base/metrics.hpp"

#include <gtest/gtest.h>
#include <limits>
#include <vector>

namespace crowlink
{
namespace
{

using std::chrono::milliseconds;

// 0.9 of it are 900 bytes a millisecond.
constexpr double link_mbps = 8.0;

const route_terms upload_terms{request_class::upload, milliseconds(4000),
                               milliseconds(800), 2};
const route_terms safe_terms{request_class::safe, milliseconds(1500),
                             milliseconds(300), 1};

// A scheduler at a time that the test moves.
class test_egress
{
public:
    egress_verdict offer(std::uint64_t flow, const route_terms* terms,
                         std::size_t size,
                         packet_role role = packet_role::continues,
                         bool may_be_refused = false, bool finishes = false)
    {
        // All packets differ.
        ++m_number;
        return offer_again(flow, terms, size, role, may_be_refused, finishes);
    }

    // The same bytes as the last packet.
    egress_verdict offer_again(std::uint64_t flow, const route_terms* terms,
                               std::size_t size,
                               packet_role role = packet_role::continues,
                               bool may_be_refused = false,
                               bool finishes = false)
    {
        std::vector<std::uint8_t> bytes(std::max<std::size_t>(size, 4));
        for (unsigned at = 0; at < 4; ++at)
        {
            bytes[at] = static_cast<std::uint8_t>(m_number >> (8 * at));
        }
        return m_scheduler.offer(now(), egress_offer{flow, terms, role,
                                                     may_be_refused, finishes,
                                                     bytes, endpoint(), bytes});
    }

    // Uses up the burst, so that the next packet is queued.
    void use_burst()
    {
        while (offer(0, &safe_terms, 1000) == egress_verdict::send_now)
        {
        }
        while (m_scheduler.is_waiting())
        {
            advance(milliseconds(1));
            m_scheduler.take(now());
        }
    }

    // The flows of all packets that are sent until nothing waits.
    std::vector<std::uint64_t> drain()
    {
        std::vector<std::uint64_t> flows;
        while (m_scheduler.is_waiting())
        {
            while (const auto packet = m_scheduler.take(now()))
            {
                flows.push_back(packet->flow);
            }
            advance(milliseconds(1));
        }
        return flows;
    }

    void advance(duration step) { m_clock.advance(step); }
    time_point now() const { return m_clock.now(); }
    egress_scheduler& scheduler() { return m_scheduler; }
    const egress_counts& counts() const { return m_scheduler.counts(); }

private:
    manual_clock m_clock;
    egress_scheduler m_scheduler{link_mbps};
    std::uint32_t m_number = 0;
};

TEST(link_pacer, lets_through_the_burst_and_then_the_rate)
{
    link_pacer bucket(1000.0, milliseconds(20));
    time_point now{};
    std::size_t taken = 0;
    for (int step = 0; step < 10'000; ++step)
    {
        now += milliseconds(1);
        bucket.refill(now, true);
        while (bucket.is_open())
        {
            bucket.take(7);
            taken += 7;
        }
    }
    EXPECT_NEAR(static_cast<double>(taken), 10'000.0, 30.0);
    bucket.refill(now + std::chrono::hours(1), false);
    EXPECT_TRUE(bucket.is_open());
    bucket.take(20);
    EXPECT_FALSE(bucket.is_open());
}

// A balance that never turns positive would make the thread poll in vain.
TEST(link_pacer, is_open_at_the_time_that_it_names)
{
    link_pacer bucket(562'500.0, milliseconds(20));
    time_point now{};
    for (int round = 0; round < 1000; ++round)
    {
        bucket.refill(now, true);
        while (bucket.is_open())
        {
            bucket.take(1431);
        }
        const time_point opens = bucket.opens_at();
        ASSERT_GT(opens, now);
        ASSERT_LT(opens - now, milliseconds(4));
        now = opens;
        bucket.refill(now, true);
        ASSERT_TRUE(bucket.is_open());
    }
}

TEST(egress_scheduler, an_idle_host_sends_in_the_same_call_without_allocating)
{
    test_egress egress;
    std::vector<std::uint8_t> bytes(1400);
    const egress_offer packet{1,          &safe_terms, packet_role::continues,
                              false,      false,       bytes,
                              endpoint(), bytes};
    const std::uint64_t before = allocation_count();
    for (int i = 0; i < 100; ++i)
    {
        egress.advance(milliseconds(2));
        ASSERT_EQ(egress.scheduler().offer(egress.now(), packet),
                  egress_verdict::send_now);
    }
    EXPECT_EQ(allocation_count(), before);
    EXPECT_EQ(egress.scheduler().next_send(), time_point::max());
    EXPECT_EQ(egress.counts(), egress_counts());
}

TEST(egress_scheduler, sends_at_the_pace_and_names_the_time_of_the_next)
{
    test_egress egress;
    egress.use_burst();
    for (int i = 0; i < 10; ++i)
    {
        ASSERT_EQ(egress.offer(1, &safe_terms, 900), egress_verdict::queued);
    }
    const time_point start = egress.now();
    std::size_t sent = 0;
    while (egress.scheduler().is_waiting())
    {
        const time_point next = egress.scheduler().next_send();
        ASSERT_FALSE(next > egress.now() + milliseconds(3));
        egress.advance(std::max(duration::zero(), next - egress.now()));
        ASSERT_TRUE(egress.scheduler().take(egress.now()).has_value());
        ++sent;
    }
    EXPECT_EQ(sent, 10U);
    const std::chrono::duration<double, std::milli> took = egress.now() - start;
    EXPECT_NEAR(took.count(), 10.0, 2.0);
    EXPECT_EQ(egress.scheduler().next_send(), time_point::max());
}

// Packets of a flow with a large body must not wait for small ones for ever.
TEST(egress_scheduler, one_of_four_sends_is_of_the_second_level)
{
    test_egress egress;
    egress.use_burst();
    for (int i = 0; i < 12; ++i)
    {
        egress.offer(1, &safe_terms, 100);
        egress.offer(2, &upload_terms, 1200);
    }
    const std::vector<std::uint64_t> expected{
        1, 1, 1, 2, 1, 1, 1, 2, 1, 1, 1, 2, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 2};
    EXPECT_EQ(egress.drain(), expected);
}

TEST(egress_scheduler, openings_of_uploads_go_before_their_data)
{
    test_egress egress;
    egress.use_burst();
    egress.offer(2, &upload_terms, 1200);
    egress.offer(2, &upload_terms, 1200);
    egress.offer(3, &upload_terms, 31, packet_role::opens, true);
    EXPECT_EQ(egress.drain(), (std::vector<std::uint64_t>{3, 2, 2}));
}

// A small packet behind a large one of its flow must not overtake it.
TEST(egress_scheduler, packets_of_a_flow_stay_in_order)
{
    test_egress egress;
    egress.use_burst();
    egress.offer(1, &safe_terms, 1200);
    egress.offer(1, &safe_terms, 100);
    std::vector<std::size_t> sizes;
    while (egress.scheduler().is_waiting())
    {
        egress.advance(milliseconds(1));
        while (const auto packet = egress.scheduler().take(egress.now()))
        {
            sizes.push_back(packet->bytes.size());
        }
    }
    EXPECT_EQ(sizes, (std::vector<std::size_t>{1200, 100}));
}

TEST(egress_scheduler, flows_of_the_second_level_take_turns)
{
    test_egress egress;
    egress.use_burst();
    for (int i = 0; i < 4; ++i)
    {
        egress.offer(1, &upload_terms, 1200);
    }
    egress.offer(2, &upload_terms, 1200);
    egress.offer(2, &upload_terms, 1200);
    EXPECT_EQ(egress.drain(), (std::vector<std::uint64_t>{1, 2, 1, 2, 1, 1}));
}

TEST(egress_scheduler, queues_are_bounded_and_the_longest_flow_loses)
{
    test_egress egress;
    egress.use_burst();
    // 50 ms of the link are 50,000 bytes.
    for (int i = 0; i < 100; ++i)
    {
        egress.offer(1, &safe_terms, 1000);
    }
    EXPECT_EQ(egress.counts().small_queued_bytes, 50'000U);
    EXPECT_EQ(egress.counts().small_dropped, 50U);
    // 16 packets of a flow, and 150,000 bytes of all.
    for (int i = 0; i < 20; ++i)
    {
        egress.offer(2, &upload_terms, 1000);
    }
    EXPECT_EQ(egress.counts().bulk_queued_bytes, 16'000U);
    EXPECT_EQ(egress.counts().bulk_dropped, 4U);
    for (std::uint64_t flow = 3; flow < 400; ++flow)
    {
        egress.offer(flow, &upload_terms, 1000);
    }
    EXPECT_EQ(egress.counts().bulk_queued_bytes, 150'000U);
    const std::vector<std::uint64_t> sent = egress.drain();
    EXPECT_LE(std::count(sent.begin(), sent.end(), 2U), 2);
    EXPECT_EQ(std::count(sent.begin(), sent.end(), 3U), 1);
}

// The caller sends again after 200 ms what waits here: sent twice, it would
// double the load.
TEST(egress_scheduler, a_copy_of_a_waiting_packet_is_not_sent_twice)
{
    test_egress egress;
    egress.use_burst();
    egress.offer(2, &upload_terms, 1200);
    EXPECT_EQ(egress.offer_again(2, &upload_terms, 1200),
              egress_verdict::dropped);
    EXPECT_EQ(egress.drain().size(), 1U);
    EXPECT_EQ(egress.counts().bulk_repeated, 1U);
    // The first may have been lost on the way.
    egress.advance(milliseconds(200));
    EXPECT_EQ(egress.offer_again(2, &upload_terms, 1200),
              egress_verdict::send_now);
}

TEST(egress_scheduler, a_packet_that_waited_too_long_is_not_sent)
{
    test_egress egress;
    egress.use_burst();
    egress.offer(2, &upload_terms, 1200);
    egress.advance(milliseconds(401));
    EXPECT_FALSE(egress.scheduler().take(egress.now()).has_value());
    EXPECT_EQ(egress.counts().bulk_dropped, 1U);
}

TEST(egress_scheduler, what_an_ended_flow_queued_is_discarded)
{
    test_egress egress;
    egress.use_burst();
    for (int i = 0; i < 5; ++i)
    {
        egress.offer(2, &upload_terms, 1200);
        egress.offer(3, &upload_terms, 1200);
    }
    egress.offer(2, &upload_terms, 31, packet_role::resets);
    egress.scheduler().note_ended(3);
    EXPECT_EQ(egress.counts().bulk_queued_bytes, 0U);
    EXPECT_EQ(egress.drain(), (std::vector<std::uint64_t>{2}));
}

std::size_t admitted_of(test_egress& egress, const route_terms& terms,
                        std::size_t offered, bool may_be_refused)
{
    std::size_t admitted = 0;
    for (std::uint64_t flow = 100; flow < 100 + offered; ++flow)
    {
        egress.advance(milliseconds(1));
        admitted += egress.offer(flow, &terms, 31, packet_role::opens,
                                 may_be_refused) == egress_verdict::refused
                        ? 0
                        : 1;
    }
    return admitted;
}

TEST(egress_scheduler, refuses_openings_of_uploads_that_do_not_fit_the_aim)
{
    test_egress egress;
    // 900 kB/s within 0.9 of 800 ms are 648 kB: 12 uploads of 50 kB.
    EXPECT_EQ(admitted_of(egress, upload_terms, 50, true), 12U);
    EXPECT_EQ(egress.counts().refused_flows, 38U);
    // Flows that an agent refused make room. The others are known: a repeated
    // opening packet must not refuse them.
    egress.scheduler().note_ended(100);
    egress.scheduler().note_ended(101);
    EXPECT_EQ(admitted_of(egress, upload_terms, 50, true), 12U);
    metrics target;
    add_to(target, egress.counts());
    EXPECT_GT(target.counter("crowlink_balancer_egress_flows_refused_total"),
              38U);
}

// An earlier copy may have opened the flow, here or through another host: a
// refusal would reset an open flow.
TEST(egress_scheduler, never_refuses_a_copy_or_another_packet)
{
    test_egress egress;
    EXPECT_EQ(admitted_of(egress, upload_terms, 50, false), 50U);
    EXPECT_NE(egress.offer(700, &upload_terms, 1000), egress_verdict::refused);
    EXPECT_EQ(egress.counts().refused_flows, 0U);
}

TEST(egress_scheduler, never_refuses_other_classes)
{
    for (const request_class requests :
         {request_class::safe, request_class::non_idempotent,
          request_class::download})
    {
        test_egress egress;
        route_terms terms = upload_terms;
        terms.requests = requests;
        EXPECT_EQ(admitted_of(egress, terms, 50, true), 50U);
    }
}

// Bytes of an upload with packets waiting at all times that are sent in a
// second, beside so many bytes in each millisecond without terms.
std::size_t upload_bytes_beside(std::size_t plain_bytes)
{
    test_egress egress;
    egress.use_burst();
    std::size_t sent = 0;
    for (int step = 0; step < 1000; ++step)
    {
        egress.advance(milliseconds(1));
        EXPECT_EQ(egress.offer(1, nullptr, plain_bytes),
                  egress_verdict::send_now);
        for (std::uint64_t flow = 2; flow < 6; ++flow)
        {
            if (egress.offer(flow, &upload_terms, 1000) ==
                egress_verdict::send_now)
            {
                sent += 1000;
            }
        }
        while (const auto packet = egress.scheduler().take(egress.now()))
        {
            sent += packet->bytes.size();
        }
    }
    return sent;
}

// Both count towards the link, which is paced at 900,000 bytes a second.
TEST(egress_scheduler, packets_without_terms_take_from_the_pace)
{
    EXPECT_NEAR(static_cast<double>(upload_bytes_beside(300)), 600e3, 30e3);
}

TEST(egress_scheduler, packets_without_terms_leave_half_of_the_pace)
{
    EXPECT_NEAR(static_cast<double>(upload_bytes_beside(5000)), 450e3, 30e3);
}

TEST(egress_scheduler, tiny_and_huge_figures_still_send)
{
    for (const double figure : {0.0, 1e-9, 1e6})
    {
        egress_scheduler scheduler(figure);
        const std::vector<std::uint8_t> bytes(1400);
        const egress_offer packet{
            1,          &upload_terms, packet_role::continues,
            false,      false,         bytes,
            endpoint(), bytes};
        time_point now{};
        std::size_t sent = 0;
        for (int i = 0; i < 2000; ++i)
        {
            now += milliseconds(1);
            sent += scheduler.offer(now, packet) == egress_verdict::send_now;
            while (scheduler.take(now))
            {
                ++sent;
            }
        }
        EXPECT_GE(sent, 10U) << figure;
    }
}

void send(bulk_admission& flows, time_point now, std::uint64_t flow,
          std::size_t bytes)
{
    for (std::size_t sent = 0; sent < bytes; sent += 1000)
    {
        flows.note_sent(now, flow, 1000);
    }
}

TEST(bulk_admission, learns_the_mean_from_flows_that_ended)
{
    bulk_admission flows;
    time_point now{};
    for (std::uint64_t flow = 1; flow <= 100; ++flow)
    {
        now += milliseconds(10);
        flows.open(now, flow);
        send(flows, now, flow, 20'000);
        flows.note_finished(flow);
    }
    EXPECT_NEAR(flows.mean_bytes(), 20'000.0, 1.0);
    // Flows that send no last packet end when they are idle.
    for (std::uint64_t flow = 201; flow <= 300; ++flow)
    {
        now += milliseconds(10);
        flows.open(now, flow);
        send(flows, now, flow, 10'000);
    }
    now += std::chrono::seconds(2);
    flows.is_full(now, milliseconds(800), 1e6);
    EXPECT_NEAR(flows.mean_bytes(), 10'000.0, 100.0);
    EXPECT_EQ(flows.flows(), 0U);
}

// A flow that failed early or is huge must not change what others are taken
// for.
TEST(bulk_admission, the_mean_bears_aborted_and_huge_flows)
{
    bulk_admission flows;
    const time_point now{};
    flows.open(now, 1);
    send(flows, now, 1, 1000);
    flows.note_aborted(1);
    EXPECT_EQ(flows.mean_bytes(), bulk_admission::first_mean);
    for (std::uint64_t flow = 2; flow <= 40; ++flow)
    {
        flows.open(now, flow);
        send(flows, now, flow, 40'000);
        flows.note_finished(flow);
    }
    flows.open(now, 50);
    send(flows, now, 50, 50'000'000);
    flows.note_finished(50);
    EXPECT_LT(flows.mean_bytes(), 50'000.0);
}

TEST(bulk_admission, one_flow_is_always_admitted)
{
    bulk_admission flows;
    const time_point now{};
    EXPECT_FALSE(flows.is_full(now, milliseconds(1), 1.0));
    flows.open(now, 1);
    EXPECT_TRUE(flows.is_full(now, milliseconds(1), 1.0));
    flows.note_finished(1);
    EXPECT_FALSE(flows.is_full(now, milliseconds(1), 1.0));
}

// After a restart, and through an attack with many flows.
TEST(bulk_admission, unknown_flows_count_from_their_next_packet_and_are_bounded)
{
    bulk_admission flows;
    const time_point now{};
    for (std::uint64_t flow = 0; flow < 20'000; ++flow)
    {
        flows.note_sent(now, flow, 1200);
    }
    EXPECT_EQ(flows.flows(), bulk_admission::max_flows);
    EXPECT_EQ(flows.active_flows(now), bulk_admission::max_flows);
    EXPECT_EQ(flows.active_flows(now + std::chrono::seconds(2)), 0U);
    // Their size is not known.
    flows.note_finished(19'999);
    EXPECT_EQ(flows.mean_bytes(), bulk_admission::first_mean);
}

egress_packet packet_of(std::uint64_t flow, std::size_t size)
{
    egress_packet packet;
    packet.flow = flow;
    packet.bytes.resize(size);
    return packet;
}

// By bytes, whatever the sizes of packets.
TEST(fair_queue, flows_get_equal_shares_of_bytes)
{
    fair_queue queue(1'000'000);
    std::size_t large = 0;
    std::size_t small = 0;
    for (int round = 0; round < 2000; ++round)
    {
        while (queue.push(packet_of(1, 1400)) == 0)
        {
        }
        while (queue.push(packet_of(2, 200)) == 0)
        {
        }
        const egress_packet sent = queue.pop();
        (sent.flow == 1 ? large : small) += sent.bytes.size();
    }
    EXPECT_NEAR(static_cast<double>(large), static_cast<double>(small), 3000.0);
}

TEST(fair_queue, the_longest_flow_loses_its_newest_packet)
{
    fair_queue queue(5000);
    for (std::size_t size = 1001; size <= 1004; ++size)
    {
        EXPECT_EQ(queue.push(packet_of(1, size)), 0U);
    }
    EXPECT_EQ(queue.push(packet_of(2, 900)), 0U);
    EXPECT_EQ(queue.push(packet_of(3, 900)), 1U);
    std::vector<std::size_t> of_longest;
    std::size_t others = 0;
    while (!queue.empty())
    {
        const egress_packet packet = queue.pop();
        if (packet.flow == 1)
        {
            of_longest.push_back(packet.bytes.size());
        }
        others += packet.flow == 1 ? 0 : 1;
    }
    EXPECT_EQ(of_longest, (std::vector<std::size_t>{1001, 1002, 1003}));
    EXPECT_EQ(others, 2U);
}

TEST(fair_queue, bytes_and_flows_are_bounded_and_add_up)
{
    fair_queue queue(100'000);
    std::size_t pushed = 0;
    std::size_t dropped = 0;
    for (std::uint64_t flow = 0; flow < 10'000; ++flow)
    {
        ++pushed;
        dropped += queue.push(packet_of(flow, 10 + flow % 1000));
        ASSERT_LE(queue.bytes(), 100'000U);
    }
    std::size_t left = 0;
    while (!queue.empty())
    {
        queue.pop();
        ++left;
    }
    EXPECT_EQ(queue.bytes(), 0U);
    EXPECT_EQ(left + dropped, pushed);
}

} // namespace
} // namespace crowlink
