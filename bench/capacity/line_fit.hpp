#pragma once

#include <span>

namespace crowlink::capacity
{

// One measurement: the cost at a size.
struct point
{
    double size = 0.0;
    double value = 0.0;

    friend bool operator==(const point&, const point&) = default;
};

// A straight line through points by least squares of the relative distances:
// each point weighs by the inverse square of its value, since the values span
// decades and are measured with a relative error.
struct line_fit
{
    double fixed = 0.0;
    double per_unit = 0.0;
    // The standard error of per_unit.
    double per_unit_error = 0.0;
    // The share of the weighted variance that the line explains, at most 1.
    double r_squared = 1.0;
    // The root mean square of (value - line) / value over the points.
    double relative_error = 0.0;

    friend bool operator==(const line_fit&, const line_fit&) = default;
};

// Fits a line; one point gives a constant, none gives zero.
line_fit fit_line(std::span<const point> points);

} // namespace crowlink::capacity
