#pragma once

namespace crowlink
{

// A cost as a straight line over one size, fitted by least squares.
struct cost_line
{
    // The cost at size zero.
    double fixed = 0.0;
    // What one unit of the size adds.
    double per_unit = 0.0;
    // The root mean square of the points' relative distance to the line.
    double relative_error = 0.0;

    // The cost at a size; never negative.
    double at(double size) const
    {
        const double value = fixed + per_unit * size;
        return value < 0.0 ? 0.0 : value;
    }

    friend bool operator==(const cost_line&, const cost_line&) = default;
};

} // namespace crowlink
