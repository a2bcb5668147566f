#include "crowlink/agent/service_time_estimator.hpp"
#include "crowlink/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <queue>
#include <vector>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;
using internal::service_time_estimator;

constexpr std::uint32_t slots = 2;

double uniform(seeded_random& random)
{
    return (static_cast<double>(random() % 1'000'000) + 0.5) / 1'000'000;
}

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

// Log-normal with the given mean and a spread of 0.5.
double log_normal(seeded_random& random, double mean)
{
    constexpr double spread = 0.5;
    const double normal = std::sqrt(-2 * std::log(uniform(random))) *
                          std::cos(2 * std::numbers::pi * uniform(random));
    return mean * std::exp(spread * normal - spread * spread / 2);
}

// An upstream with a FIFO queue in front of its slots, and random arrivals.
class measured_upstream
{
public:
    explicit measured_upstream(std::uint64_t seed) : m_random(seed)
    {
        estimator.set_slots(slots);
    }

    void run(duration time, double load, double mean_seconds)
    {
        const time_point end = now + time;
        time_point arrival = now + gap(load, mean_seconds);
        while (true)
        {
            const time_point done =
                m_running.empty() ? time_point::max() : m_running.top();
            const time_point next = std::min({arrival, done, end});
            now = next;
            if (next == end)
            {
                return;
            }
            if (next == done)
            {
                m_running.pop();
                --m_present;
                estimator.note_completed(now);
            }
            else
            {
                ++m_present;
                arrival = now + gap(load, mean_seconds);
            }
            while (m_running.size() < std::min<std::size_t>(m_present, slots))
            {
                m_running.push(now +
                               seconds(log_normal(m_random, mean_seconds)));
            }
            estimator.note_running(now, m_present);
        }
    }

    double mean_ms() const
    {
        return milliseconds(estimator.mean(now).value_or(0ns));
    }

    service_time_estimator estimator;
    time_point now{1h};

private:
    duration gap(double load, double mean_seconds)
    {
        return seconds(-std::log(uniform(m_random)) * mean_seconds /
                       (load * slots));
    }

    seeded_random m_random;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>
        m_running;
    std::size_t m_present = 0;
};

// A mean over time instead of busy slot time would depend on the load.
TEST(service_time_estimator, finds_the_mean_with_idle_slots_and_with_a_queue)
{
    for (const double load : {0.1, 0.5, 0.9, 1.5})
    {
        double sum = 0;
        constexpr int runs = 20;
        for (std::uint64_t seed = 0; seed < runs; ++seed)
        {
            measured_upstream upstream(seed);
            upstream.run(20s, load, 0.030);
            EXPECT_NEAR(upstream.mean_ms(), 30, 12) << load;
            sum += upstream.mean_ms();
        }
        EXPECT_NEAR(sum / runs, 30, 2) << load;
    }
}

TEST(service_time_estimator, is_unknown_before_eight_completions)
{
    service_time_estimator estimator;
    time_point now{1h};
    EXPECT_FALSE(estimator.mean(now));
    for (int i = 0; i < 8; ++i)
    {
        EXPECT_FALSE(estimator.mean(now)) << i;
        estimator.note_running(now, 1);
        now += 20ms;
        estimator.note_completed(now);
        estimator.note_running(now, 0);
    }
    ASSERT_TRUE(estimator.mean(now));
    EXPECT_NEAR(milliseconds(*estimator.mean(now)), 20, 0.001);
}

// Without the busy time of requests that have not ended, a stalled upstream
// would keep the mean of the time before.
TEST(service_time_estimator, rises_during_a_stall_and_recovers)
{
    measured_upstream upstream(1);
    upstream.run(5s, 0.8, 0.030);
    const double before = upstream.mean_ms();
    upstream.estimator.note_running(upstream.now, 4);
    const auto after_one = upstream.estimator.mean(upstream.now + 1s);
    const auto after_four = upstream.estimator.mean(upstream.now + 4s);
    ASSERT_TRUE(after_one && after_four);
    EXPECT_GT(milliseconds(*after_one), 2 * before);
    EXPECT_GT(milliseconds(*after_four), 6 * before);

    // However long the stall, the growth is bounded.
    const auto after_an_hour = upstream.estimator.mean(upstream.now + 1h);
    ASSERT_TRUE(after_an_hour);
    EXPECT_LT(milliseconds(*after_an_hour), 17 * before);
    upstream.now += 1h;
    for (int i = 0; i < 128; ++i)
    {
        upstream.now += 15ms;
        upstream.estimator.note_completed(upstream.now);
    }
    EXPECT_NEAR(upstream.mean_ms(), 30, 12);
}

TEST(service_time_estimator, follows_a_change_of_speed)
{
    measured_upstream upstream(2);
    upstream.run(5s, 0.8, 0.030);
    upstream.run(5s, 0.8, 0.120);
    EXPECT_GT(upstream.mean_ms(), 80);
    upstream.run(5s, 0.8, 0.030);
    EXPECT_LT(upstream.mean_ms(), 50);
}

// An upstream that was slow once and gets no requests since would never be
// tried again.
TEST(service_time_estimator, forgets_while_the_upstream_is_idle)
{
    measured_upstream upstream(3);
    upstream.run(5s, 0.8, 0.030);
    upstream.estimator.note_running(upstream.now, 0);
    upstream.estimator.note_running(upstream.now + 4s, 0);
    EXPECT_TRUE(upstream.estimator.mean(upstream.now + 4s));
    EXPECT_FALSE(upstream.estimator.mean(upstream.now + 5s));
}

} // namespace

} // namespace crowlink::test
