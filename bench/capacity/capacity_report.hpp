#pragma once

#include "measured_slope.hpp"

#include <string>
#include <vector>

namespace crowlink::capacity
{

// The machine that was measured on and when.
struct measured_where
{
    std::string date;
    unsigned cores = 0;
    double memory_bytes = 0.0;
    bool is_short = false;
};

// This machine, now.
measured_where this_machine(bool is_short);

// The slopes file that crowlink::read_costs reads.
std::string to_json(const measured_where& where,
                    const std::vector<measured_slope>& slopes);

// The table of docs/CAPACITY.md, in Markdown.
std::string to_table(const std::vector<measured_slope>& slopes);

} // namespace crowlink::capacity
