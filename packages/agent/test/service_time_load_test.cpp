#include "load_simulation.hpp"

#include <gtest/gtest.h>

#include <numeric>

// The effect of service times on the results of callers. Each of these fails
// with the relative time fixed at 1, unless it says that nothing changes.

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t seeds = 5;
constexpr std::size_t changed = 3;

struct mean_result
{
    double value = 0;
    double p99 = 0;
    // The part of all completed requests that the changed upstream completed,
    // and in the last quarter of the measured time, relative to an equal part.
    double part = 0;
    double part_at_end = 0;
    std::uint32_t least_relative_time = 8000;
    std::uint32_t greatest_relative_time = 0;
    std::uint32_t relative_time_of_changed = 0;
};

double relative_part(const std::vector<std::size_t>& completed)
{
    const auto sum = std::accumulate(completed.begin(), completed.end(), 0UL);
    return static_cast<double>(completed[changed] * completed.size()) /
           static_cast<double>(sum);
}

mean_result simulate(load_settings settings)
{
    mean_result mean;
    for (std::uint64_t seed = 0; seed < seeds; ++seed)
    {
        settings.seed = 100 + seed;
        const load_result result = load_simulation(settings).run();
        mean.value += result.value() / seeds;
        mean.p99 += result.p99 / seeds;
        mean.part += relative_part(result.completed) / seeds;
        mean.part_at_end += relative_part(result.completed_at_end) / seeds;
        for (const std::uint32_t each : result.relative_times)
        {
            mean.least_relative_time = std::min(mean.least_relative_time, each);
            mean.greatest_relative_time =
                std::max(mean.greatest_relative_time, each);
        }
        mean.relative_time_of_changed = result.relative_times[changed];
    }
    return mean;
}

load_settings of_three_speeds()
{
    load_settings settings;
    settings.speeds = {0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6, 0.6, 1, 1.6};
    return settings;
}

// Upstreams of the same total speed.
load_settings of_equal_speed()
{
    load_settings settings;
    const load_settings three = of_three_speeds();
    const double sum =
        std::accumulate(three.speeds.begin(), three.speeds.end(), 0.0);
    const auto count = static_cast<double>(three.speeds.size());
    settings.speeds.assign(three.speeds.size(), sum / count);
    return settings;
}

std::vector<simulated_kind> two_kinds()
{
    return {{0.5, 33ms}, {0.5, 5ms}};
}

TEST(service_time_load, three_speeds_are_nearly_as_good_as_equal_ones)
{
    const mean_result equal = simulate(of_equal_speed());
    const mean_result three = simulate(of_three_speeds());
    EXPECT_LE(three.p99, 1.2 * equal.p99);
    EXPECT_GE(three.value, equal.value - 0.001);
    RecordProperty("equal_p99", std::to_string(equal.p99));
    RecordProperty("three_p99", std::to_string(three.p99));
}

TEST(service_time_load, three_speeds_serve_a_mixed_load)
{
    load_settings settings = of_equal_speed();
    settings.kinds = two_kinds();
    const mean_result equal = simulate(settings);
    settings.speeds = of_three_speeds().speeds;
    const mean_result three = simulate(settings);
    EXPECT_LE(three.p99, 1.3 * equal.p99);
    EXPECT_GE(three.value, equal.value - 0.001);
}

TEST(service_time_load, an_upstream_slower_by_8_times_delays_few_callers)
{
    load_settings settings;
    settings.speeds[changed] = 0.125;
    const mean_result slow = simulate(settings);
    EXPECT_GE(slow.value, 0.999);
    EXPECT_LE(slow.p99, 140);
    EXPECT_LE(slow.part, 0.06);
}

TEST(service_time_load, a_stalled_upstream_gets_less_and_recovers)
{
    load_settings settings;
    settings.changes = {{changed, 8s, 0}};
    const mean_result stalled = simulate(settings);
    EXPECT_GE(stalled.relative_time_of_changed, 4000U);

    settings.changes.push_back({changed, 14s, 1});
    const mean_result recovered = simulate(settings);
    EXPECT_GE(recovered.value, 0.9992);
    EXPECT_GE(recovered.part_at_end, 0.9);
    EXPECT_LE(recovered.relative_time_of_changed, 1500U);
}

TEST(service_time_load, follows_a_speed_that_changes)
{
    load_settings settings;
    settings.changes = {{changed, 8s, 0.25}};
    const mean_result slower = simulate(settings);
    EXPECT_LE(slower.p99, 135);
    EXPECT_GE(slower.relative_time_of_changed, 2000U);

    settings.changes.push_back({changed, 16s, 1});
    const mean_result recovered = simulate(settings);
    EXPECT_LE(recovered.p99, 130);
    EXPECT_GE(recovered.part_at_end, 0.9);
}

// The mean of a slow upstream would keep its successor from its part.
TEST(service_time_load, a_restarted_upstream_gets_its_part)
{
    load_settings settings;
    settings.speeds[changed] = 0.25;
    settings.restart_at = 12s;
    settings.restarted = changed;
    settings.changes = {{changed, 12s, 1}};
    const mean_result restarted = simulate(settings);
    EXPECT_LE(restarted.p99, 120);
    EXPECT_GE(restarted.part_at_end, 0.9);
}

// In the course of an update some agents send no service time and weigh as
// before: it must not be worse than before the update.
TEST(service_time_load, old_and_new_agents_work_side_by_side)
{
    load_settings settings = of_three_speeds();
    settings.old_agents = settings.speeds.size();
    const mean_result before = simulate(settings);
    settings.old_agents = settings.speeds.size() / 2;
    const mean_result during = simulate(settings);
    EXPECT_LE(during.p99, 0.95 * before.p99);
    EXPECT_GE(during.value, before.value - 0.0005);
}

TEST(service_time_load, nothing_changes_with_equal_upstreams_but_for_chance)
{
    for (const bool is_mixed : {false, true})
    {
        load_settings settings;
        if (is_mixed)
        {
            settings.kinds = two_kinds();
        }
        const mean_result with = simulate(settings);
        settings.has_terms = false;
        const mean_result without = simulate(settings);
        EXPECT_NEAR(with.p99, without.p99, 0.03 * without.p99) << is_mixed;
        EXPECT_NEAR(with.value, without.value, 0.0005) << is_mixed;
    }
}

// Agents without terms neither weigh nor tell service times, whatever the
// upstreams' speeds.
TEST(service_time_load, nothing_changes_without_terms)
{
    load_settings settings = of_three_speeds();
    settings.has_terms = false;
    settings.speeds[changed] = 0.125;
    const mean_result without = simulate(settings);
    EXPECT_EQ(without.least_relative_time, 1000U);
    EXPECT_EQ(without.greatest_relative_time, 1000U);
}

} // namespace

} // namespace crowlink::test
