#include "line_fit.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace crowlink::capacity
{
namespace
{

TEST(line_fit, finds_an_exact_line)
{
    const std::vector<point> points{{1, 5}, {4, 11}, {16, 35}, {64, 131}};
    const line_fit fit = fit_line(points);
    EXPECT_NEAR(fit.fixed, 3.0, 1e-9);
    EXPECT_NEAR(fit.per_unit, 2.0, 1e-9);
    EXPECT_NEAR(fit.relative_error, 0.0, 1e-9);
    EXPECT_NEAR(fit.r_squared, 1.0, 1e-9);
}

TEST(line_fit, states_the_error_of_a_curve)
{
    const std::vector<point> points{{1, 1}, {4, 2}, {16, 4}, {64, 8}};
    const line_fit fit = fit_line(points);
    EXPECT_GT(fit.relative_error, 0.1);
    EXPECT_LT(fit.r_squared, 0.99);
    EXPECT_GT(fit.per_unit_error, 0.0);
}

TEST(line_fit, takes_few_points)
{
    EXPECT_EQ(fit_line({}), line_fit{});
    const std::vector<point> one{{3, 7}};
    EXPECT_EQ(fit_line(one).fixed, 7.0);
    EXPECT_EQ(fit_line(one).per_unit, 0.0);
}

} // namespace
} // namespace crowlink::capacity
