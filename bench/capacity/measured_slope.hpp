#pragma once

#include "line_fit.hpp"

#include <string>
#include <vector>

namespace crowlink::capacity
{

// One cost measured at several sizes.
struct measured_slope
{
    // As crowlink::cost names it, where the plan uses it.
    std::string name;
    std::string role;
    // The unit of the cost, for example "ns a packet".
    std::string unit;
    // What the size counts, for example "members of the service".
    std::string over;
    std::vector<point> points;
};

// How long a measurement may take.
struct effort
{
    // Least time that one point is repeated for, in seconds.
    double point_seconds = 0.2;
    // Leaves out the largest sizes; keeps the bench alive in CI.
    bool is_short = false;

    // The sizes to measure: four of a factor of 4 apart at least.
    std::vector<std::size_t> sizes(std::vector<std::size_t> all) const
    {
        constexpr std::size_t fewest = 2;
        if (is_short && all.size() > fewest)
        {
            all.resize(fewest);
        }
        return all;
    }
};

} // namespace crowlink::capacity
