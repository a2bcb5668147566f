#pragma once

namespace crowlink
{

// A cost as a linear function of one size, fitted by least squares.
struct cost_line
{
    // The cost at size zero.
    double fixed = 0.0;
    // The additional cost per unit of the size.
    double per_unit = 0.0;
    // The root mean square of the relative residuals.
    double relative_error = 0.0;

    // The cost at a size, at least zero.
    double at(double size) const
    {
        const double value = fixed + per_unit * size;
        return value < 0.0 ? 0.0 : value;
    }

    friend bool operator==(const cost_line&, const cost_line&) = default;
};

} // namespace crowlink
