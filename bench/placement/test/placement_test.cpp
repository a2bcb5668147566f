#include "experiment.hpp"
#include "report.hpp"
#include "run_arms.hpp"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace crowlink::placement
{
namespace
{

// Small enough for a test: 100 connections an upstream, faults of each kind.
constexpr const char* small_text = R"({
    "name": "small", "seed": 7, "seconds": 120, "warm_up_seconds": 20,
    "balancers": 3, "slots": 4, "connections": 100,
    "services": [ { "name": "one", "upstreams": 4, "load": 0.5 },
                  { "name": "two", "upstreams": 3, "load": 0.5 } ],
    "caller_delay_seconds": 0.001, "host_delay_seconds": 0.0005,
    "least_lifetime_seconds": 2, "most_lifetime_seconds": 20,
    "think_seconds": 1, "service_seconds": 0.02,
    "cold_start_seconds": 2,
    "least_view_delay_seconds": 0.05, "most_view_delay_seconds": 1.0,
    "arms": ["full", "naive", "omniscient"],
    "scenarios": [
      { "name": "steady" },
      { "name": "planned", "faults": [
        { "kind": "rolling_restart", "at_seconds": 25 },
        { "kind": "replace_balancer", "at_seconds": 30, "which": 0 },
        { "kind": "replace_balancer", "at_seconds": 32, "which": 1 } ] } ]
})";

std::vector<experiment> small()
{
    auto read = read_experiments(small_text);
    EXPECT_TRUE(read);
    return read ? *read : std::vector<experiment>{};
}

TEST(placement, a_run_repeats_to_the_byte)
{
    for (const experiment& settings : small())
    {
        const std::string first = to_json(settings, run_arms(settings));
        EXPECT_EQ(first, to_json(settings, run_arms(settings)));
        experiment other = settings;
        other.seed = 8;
        EXPECT_NE(first, to_json(other, run_arms(other)));
    }
}

TEST(placement, planned_changes_break_no_flow_and_the_naive_arm_shows_some)
{
    const experiment planned = small().at(1);
    const arm_report full = run_arm(planned, arm::full);
    EXPECT_GT(full.answers, 10000U);
    EXPECT_EQ(full.broken_planned, 0U);
    EXPECT_EQ(full.broken_unplanned, 0U);
    EXPECT_EQ(full.unknown_outcome, 0U);
    EXPECT_EQ(full.doubled, 0U);
    EXPECT_EQ(full.not_run_false, 0U);
    EXPECT_EQ(full.lost, 0U);
    EXPECT_EQ(full.wrong_service, 0U);
    // The same changes do break flows where nothing protects them.
    EXPECT_GT(run_arm(planned, arm::naive).broken_planned, 0U);
}

TEST(placement, perfect_knowledge_is_a_fair_yardstick)
{
    const arm_report best = run_arm(small().at(0), arm::omniscient);
    EXPECT_EQ(best.broken_planned + best.broken_unplanned, 0U);
    EXPECT_LT(best.balance.at(0).flows_mean, 1.05);
    EXPECT_EQ(best.refusals, 0U);
}

TEST(placement, the_shipped_experiments_can_be_read)
{
    for (const char* name :
         {"foundation_today", "foundation_ten", "radeau_today", "radeau_ten"})
    {
        std::ifstream file(fmt::format(
            CROWLINK_SOURCE_DIR "/bench/placement/experiments/{}.jsonc", name));
        std::stringstream text;
        text << file.rdbuf();
        const auto read = read_experiments(text.str());
        ASSERT_TRUE(read) << to_string(read.error());
        EXPECT_EQ(read->size(), 6U);
    }
}

TEST(placement, an_unknown_name_in_an_experiment_is_refused)
{
    std::string text = small_text;
    text.replace(text.find("omniscient"), 10, "omnivorous");
    const auto read = read_experiments(text);
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().message.find("omnivorous"), std::string::npos);
}

} // namespace
} // namespace crowlink::placement
