#include "line_fit.hpp"

#include <cmath>

namespace crowlink::capacity
{

namespace
{

struct sums
{
    double mean_size = 0.0;
    double mean_value = 0.0;
    double size_square = 0.0;
    double product = 0.0;
};

sums sum_up(std::span<const point> points)
{
    sums total;
    const auto count = static_cast<double>(points.size());
    for (const point& one : points)
    {
        total.mean_size += one.size / count;
        total.mean_value += one.value / count;
    }
    for (const point& one : points)
    {
        const double away = one.size - total.mean_size;
        total.size_square += away * away;
        total.product += away * (one.value - total.mean_value);
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
    fit.per_unit =
        total.size_square > 0.0 ? total.product / total.size_square : 0.0;
    fit.fixed = total.mean_value - fit.per_unit * total.mean_size;
    double residual = 0.0;
    double variance = 0.0;
    double relative = 0.0;
    for (const point& one : points)
    {
        const double off = one.value - fit.fixed - fit.per_unit * one.size;
        const double away = one.value - total.mean_value;
        residual += off * off;
        variance += away * away;
        relative += one.value > 0.0 ? off * off / (one.value * one.value) : 0.0;
    }
    const auto count = static_cast<double>(points.size());
    fit.relative_error = std::sqrt(relative / count);
    fit.r_squared = variance > 0.0 ? 1.0 - residual / variance : 1.0;
    if (count > 2.0 && total.size_square > 0.0)
    {
        fit.per_unit_error =
            std::sqrt(residual / (count - 2.0) / total.size_square);
    }
    return fit;
}

} // namespace crowlink::capacity
