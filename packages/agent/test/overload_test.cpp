#include "simulated_callers.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint16_t urgent = opening_fixture::urgent_port;
constexpr std::uint16_t other = opening_fixture::other_port;

double in_time(const simulated_callers::outcome& got)
{
    return static_cast<double>(got.in_time) / static_cast<double>(got.asked);
}

void report(const char* name, const simulated_callers::outcome& got)
{
    testing::Test::RecordProperty(
        name, std::to_string(got.asked) + " asked, " +
                  std::to_string(got.in_time) + " in time, " +
                  std::to_string(got.late) + " late, " +
                  std::to_string(got.failed) + " failed");
}

} // namespace

// Without refusals everything behind a full queue is late, and the slots serve
// requests whose callers have given up.
TEST(overload, peak_keeps_the_slots_busy_with_requests_that_are_in_time)
{
    simulated_callers play;
    const double capacity = play.capacity();
    play.ask(urgent, 0.15 * capacity, 0s, 2s);
    play.ask(other, 0.45 * capacity, 0s, 2s);
    play.ask(urgent, 0.35 * capacity, 2s, 10s);
    play.ask(other, 1.05 * capacity, 2s, 10s);
    play.ask(urgent, 0.15 * capacity, 10s, 14s);
    play.ask(other, 0.45 * capacity, 10s, 14s);
    play.play(18s);
    const auto urgent_in_peak = play.of(urgent, 2s, 10s);
    const auto other_in_peak = play.of(other, 2s, 10s);
    report("urgent_in_peak", urgent_in_peak);
    report("other_in_peak", other_in_peak);
    const auto served = urgent_in_peak.in_time + other_in_peak.in_time;
    EXPECT_GE(static_cast<double>(served), 0.9 * 8 * capacity);
    EXPECT_GE(in_time(urgent_in_peak), 0.97);
    // The queue does not outlive the peak.
    report("other_after", play.of(other, 10s, 12s));
    EXPECT_GE(in_time(play.of(urgent, 10s, 12s)), 0.97);
    EXPECT_GE(in_time(play.of(other, 10500ms, 14s)), 0.97);
    EXPECT_EQ(play.contradictions(), 0U);
    EXPECT_EQ(play.fixture.core->held(), 0U);
}

// A surge of requests that can wait must not delay those that can't.
TEST(overload, surge_of_the_less_urgent_kind_leaves_the_urgent_one_in_time)
{
    simulated_callers play;
    const double capacity = play.capacity();
    play.ask(urgent, 0.2 * capacity, 0s, 14s);
    play.ask(other, 0.5 * capacity, 0s, 2s);
    play.ask(other, 1.5 * capacity, 2s, 10s);
    play.ask(other, 0.5 * capacity, 10s, 14s);
    play.play(18s);
    report("urgent", play.of(urgent, 2s, 10s));
    report("other", play.of(other, 2s, 10s));
    report("urgent_after", play.of(urgent, 10s, 12s));
    report("other_after", play.of(other, 10s, 12s));
    EXPECT_GE(in_time(play.of(urgent, 2s, 10s)), 0.97);
    EXPECT_GE(static_cast<double>(play.of(other, 2s, 10s).in_time),
              0.9 * 0.8 * 8 * capacity);
    EXPECT_EQ(play.contradictions(), 0U);
}

// Callers behind an upstream that answers nothing must be told while they can
// still go elsewhere, and the queue must not delay those after the stall.
TEST(overload, stalled_upstream_refuses_and_recovers)
{
    simulated_callers play;
    const double capacity = play.capacity();
    play.ask(urgent, 0.2 * capacity, 0s, 14s);
    play.ask(other, 0.5 * capacity, 0s, 14s);
    play.stall(4s, 5s);
    play.play(18s);
    report("urgent_before", play.of(urgent, 0s, 3s));
    report("urgent_after", play.of(urgent, 6s, 8s));
    report("other_after", play.of(other, 6s, 8s));
    EXPECT_GE(in_time(play.of(urgent, 6s, 8s)), 0.97);
    EXPECT_GE(in_time(play.of(other, 6s, 8s)), 0.97);
    EXPECT_LT(play.slowest_refusal(), 900ms);
    EXPECT_EQ(play.contradictions(), 0U);
}

} // namespace crowlink::test
