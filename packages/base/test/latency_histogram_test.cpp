#include "crowlink/base/latency_histogram.hpp"

#include "crowlink/base/metrics.hpp"

#include <gtest/gtest.h>

namespace crowlink
{

namespace
{

using std::chrono::milliseconds;

TEST(latency_histogram, counts_each_value_in_all_buckets_above_it)
{
    latency_histogram times;
    times.add(milliseconds(4));
    times.add(milliseconds(150));
    times.add(milliseconds(151));
    times.add(milliseconds(60000));
    metrics out;
    times.write_to(out, "t_ms", "upstream=\"u\"");
    EXPECT_EQ(out.counter("t_ms_bucket{upstream=\"u\",le=\"5\"}"), 1U);
    EXPECT_EQ(out.counter("t_ms_bucket{upstream=\"u\",le=\"150\"}"), 2U);
    EXPECT_EQ(out.counter("t_ms_bucket{upstream=\"u\",le=\"200\"}"), 3U);
    EXPECT_EQ(out.counter("t_ms_bucket{upstream=\"u\",le=\"8000\"}"), 3U);
    EXPECT_EQ(out.counter("t_ms_bucket{upstream=\"u\",le=\"+Inf\"}"), 4U);
    EXPECT_EQ(out.counter("t_ms_count{upstream=\"u\"}"), 4U);
    EXPECT_EQ(out.counter("t_ms_sum{upstream=\"u\"}"), 60305U);
}

TEST(latency_histogram, a_clock_that_went_back_counts_as_no_time)
{
    latency_histogram times;
    times.add(milliseconds(-5));
    metrics out;
    times.write_to(out, "t_ms", "a=\"b\"");
    EXPECT_EQ(out.counter("t_ms_bucket{a=\"b\",le=\"5\"}"), 1U);
    EXPECT_EQ(out.counter("t_ms_sum{a=\"b\"}"), 0U);
}

} // namespace

} // namespace crowlink
