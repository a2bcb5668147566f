#include "line_fit.hpp"

#include <cmath>

namespace crowlink::capacity
{

namespace
{

struct sums
{
    double weight = 0.0;
    double mean_size = 0.0;
    double mean_value = 0.0;
    double size_square = 0.0;
    double product = 0.0;
};

double weight_of(const point& one)
{
    return one.value > 0.0 ? 1.0 / (one.value * one.value) : 0.0;
}

sums sum_up(std::span<const point> points)
{
    sums total;
    for (const point& one : points)
    {
        total.weight += weight_of(one);
    }
    for (const point& one : points)
    {
        const double part = weight_of(one) / total.weight;
        total.mean_size += part * one.size;
        total.mean_value += part * one.value;
    }
    for (const point& one : points)
    {
        const double away = one.size - total.mean_size;
        total.size_square += weight_of(one) * away * away;
        total.product += weight_of(one) * away * (one.value - total.mean_value);
    }
    return total;
}

} // namespace

line_fit fit_line(std::span<const point> points)
{
    line_fit fit;
    if (points.empty())
    {
        return fit;
    }
    const sums total = sum_up(points);
    if (total.weight <= 0.0)
    {
        return fit;
    }
    // A lone size leaves the slope open; then the line is flat.
    const bool has_slope = points.size() > 1 && total.size_square > 0.0;
    fit.per_unit = has_slope ? total.product / total.size_square : 0.0;
    fit.fixed = total.mean_value - fit.per_unit * total.mean_size;
    double residual = 0.0;
    double variance = 0.0;
    for (const point& one : points)
    {
        const double off = one.value - fit.fixed - fit.per_unit * one.size;
        const double away = one.value - total.mean_value;
        residual += weight_of(one) * off * off;
        variance += weight_of(one) * away * away;
    }
    const auto count = static_cast<double>(points.size());
    fit.relative_error = std::sqrt(residual / count);
    fit.r_squared = variance > 0.0 ? 1.0 - residual / variance : 1.0;
    if (points.size() > 2 && has_slope)
    {
        fit.per_unit_error =
            std::sqrt(residual / (count - 2.0) / total.size_square);
    }
    return fit;
}

} // namespace crowlink::capacity
