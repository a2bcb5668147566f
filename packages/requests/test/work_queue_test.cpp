#include "crowlink/requests/fair_order.hpp"
#include "crowlink/requests/run_times.hpp"
#include "crowlink/requests/work_queue.hpp"

#include <array>
#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

using std::chrono::milliseconds;

constexpr kind_index light = 0;
constexpr kind_index heavy = 1;
constexpr std::array<std::uint32_t, 2> weights = {1, 3};
constexpr std::size_t limit = 100;

class work_queue_test : public ::testing::Test
{
protected:
    std::optional<queued_work> push(kind_index kind)
    {
        return m_queue.push({++m_last_job, kind, weights[kind], 0});
    }

    void push_many(kind_index kind, int count)
    {
        for (int index = 0; index < count; ++index)
        {
            push(kind);
        }
    }

    // Starts `count` requests and returns the started weight of each kind.
    std::array<std::uint32_t, 2> start(int count)
    {
        std::array<std::uint32_t, 2> started = {};
        for (int index = 0; index < count; ++index)
        {
            const queued_work work = *m_queue.pop();
            started[work.kind] += work.weight;
        }
        return started;
    }

    work_queue<fair_order> m_queue{weights.size(), limit};
    std::uint64_t m_last_job = 0;
};

TEST_F(work_queue_test, waiting_kinds_get_equal_shares_of_started_weight)
{
    push_many(light, 60);
    push_many(heavy, 20);
    EXPECT_EQ(start(40), (std::array<std::uint32_t, 2>{30, 30}));
}

TEST_F(work_queue_test, an_idle_kind_accumulates_no_credit)
{
    push_many(light, 60);
    start(30);
    push_many(heavy, 10);
    EXPECT_EQ(start(8), (std::array<std::uint32_t, 2>{6, 6}));
}

TEST_F(work_queue_test, requests_of_a_kind_start_in_arrival_order)
{
    push_many(light, 3);
    EXPECT_EQ(m_queue.pop()->job, 1U);
    EXPECT_EQ(m_queue.pop()->job, 2U);
}

TEST_F(work_queue_test, a_full_queue_sheds_the_newest_of_the_heaviest_kind)
{
    push_many(light, limit);
    const std::optional<queued_work> shed = push(heavy);
    ASSERT_TRUE(shed);
    EXPECT_EQ(shed->job, limit);
    EXPECT_EQ(push(light)->job, m_last_job);
    EXPECT_EQ(m_queue.size(), limit);
}

TEST_F(work_queue_test, a_removed_request_does_not_start)
{
    push_many(light, 2);
    m_queue.remove(light, 1);
    m_queue.remove(light, 77);
    EXPECT_EQ(m_queue.size(), 1U);
    EXPECT_EQ(m_queue.pop()->job, 2U);
    EXPECT_FALSE(m_queue.pop());
}

TEST_F(work_queue_test, the_expected_wait_follows_observed_run_times)
{
    run_times times({weights.begin(), weights.end()}, milliseconds(10));
    EXPECT_EQ(times.expected(heavy), milliseconds(30));
    times.observe(heavy, milliseconds(80));
    EXPECT_EQ(times.expected(heavy), milliseconds(80));
    times.observe(heavy, milliseconds(160));
    EXPECT_EQ(times.expected(heavy), milliseconds(90));
    push_many(light, 40);
    push_many(heavy, 2);
    // Two requests of 90 ms, doubled for the other kind, over four slots.
    EXPECT_EQ(times.expected_wait(heavy, m_queue.queues(), 4),
              milliseconds(90));
    EXPECT_EQ(times.drain_time(m_queue.queues(), 4), milliseconds(145));
}

} // namespace
} // namespace crowlink
