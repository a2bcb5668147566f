#include "agent_fixture.hpp"

#include "crowlink/agent/cold_start_limiter.hpp"
#include "crowlink/base/random.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;
using internal::cold_start_limiter;

constexpr std::uint32_t limit = 20;

cold_start_limiter cold_for(time_point now, duration time)
{
    cold_start_limiter limiter;
    limiter.set_limit(limit);
    limiter.set_cold_until(now + time);
    return limiter;
}

// The highest number of flows within any span of a second.
std::size_t most_in_a_second(const std::vector<time_point>& admitted)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < admitted.size(); ++first)
    {
        std::size_t count = 0;
        while (first + count < admitted.size() &&
               admitted[first + count] - admitted[first] <= 1s)
        {
            ++count;
        }
        most = std::max(most, count);
    }
    return most;
}

// After an outage all upstreams return cold and get ten times the limit: no
// span of a second exceeds the limit, and the limit is used.
TEST(cold_start_limiter, limits_every_one_second_span_under_overload)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        seeded_random random(seed);
        time_point now{1h};
        cold_start_limiter limiter = cold_for(now, 5s);
        const time_point end = now + 5s;
        std::vector<time_point> admitted;
        while (now < end)
        {
            now += std::chrono::microseconds(random() % 10'000);
            if (now < end && limiter.allows(now))
            {
                limiter.admitted(now);
                admitted.push_back(now);
            }
        }
        EXPECT_LE(most_in_a_second(admitted), limit);
        EXPECT_GE(admitted.size(), 4 * limit);
    }
}

TEST(cold_start_limiter, does_not_limit_a_warm_upstream)
{
    time_point now{1h};
    cold_start_limiter limiter = cold_for(now, 2s);
    for (std::uint32_t i = 0; i < limit; ++i)
    {
        EXPECT_TRUE(limiter.allows(now));
        limiter.admitted(now);
    }
    EXPECT_FALSE(limiter.allows(now));
    EXPECT_EQ(limiter.used(now), 1'000'000U);
    EXPECT_TRUE(limiter.allows(now + 2s));
    EXPECT_EQ(limiter.used(now + 2s), 0U);
}

TEST(cold_start_limiter, does_not_limit_without_a_declared_limit)
{
    const time_point now{1h};
    cold_start_limiter limiter;
    limiter.set_cold_until(now + 10s);
    limiter.mark_history_unknown(now);
    EXPECT_TRUE(limiter.allows(now));
}

TEST(cold_start_limiter, allows_nothing_for_a_second_after_unknown_history)
{
    const time_point now{1h};
    cold_start_limiter limiter = cold_for(now, 5s);
    limiter.mark_history_unknown(now);
    EXPECT_FALSE(limiter.allows(now + 1s));
    EXPECT_TRUE(limiter.allows(now + 1100ms));
}

// One agent whose upstream has just started cold.
class cold_upstream : public ::testing::Test, public agent_fixture
{
protected:
    cold_upstream() : agent_fixture(3, warm_sharing(), 2000, limit)
    {
        handle(upstream_start_reported{now + 5s});
    }

    void open(std::uint16_t number, bool will_retransmit)
    {
        packet_header sent = header(number);
        sent.role = packet_role::opens;
        handle(packet_arrived{
            sent, {}, answer_need::required, false, will_retransmit});
    }
};

TEST_F(cold_upstream, admits_up_to_the_limit_and_refuses_the_rest)
{
    for (std::uint16_t i = 0; i < 3 * limit; ++i)
    {
        open(i, false);
    }
    EXPECT_EQ(effects.delivered.size(), limit);
    EXPECT_EQ(effects.refusals.size(), 2 * limit);
    EXPECT_EQ(effects.refusals.back().told.outcome, verdict::not_run);
}

// Peers see the full load before any caller is refused.
TEST_F(cold_upstream, reports_full_load_at_the_limit)
{
    for (std::uint16_t i = 0; i < limit; ++i)
    {
        open(i, false);
    }
    handle(tick{});
    EXPECT_GE(core->load(), 1'000'000U);
}

TEST_F(cold_upstream, defers_retransmitting_callers_until_there_is_room)
{
    for (std::uint16_t i = 0; i < limit; ++i)
    {
        open(i, false);
    }
    advance(900ms);
    open(limit, true);
    // The packet is neither refused nor admitted beyond the limit.
    EXPECT_TRUE(effects.refusals.empty());
    // The caller retransmits when there is room again.
    advance(200ms);
    open(limit, true);
    EXPECT_EQ(effects.delivered.size(), limit + 1U);
}

} // namespace

} // namespace crowlink::test
