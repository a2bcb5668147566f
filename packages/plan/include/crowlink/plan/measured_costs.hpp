#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/plan/cost.hpp"
#include "crowlink/plan/cost_line.hpp"

#include <array>
#include <string_view>

namespace crowlink
{

// One line for each cost.
class measured_costs
{
public:
    using lines_type = std::array<cost_line, cost_count>;

    measured_costs() = default;
    explicit measured_costs(const lines_type& lines) : m_lines(lines) {}

    const cost_line& operator[](cost which) const
    {
        return m_lines[static_cast<std::size_t>(which)];
    }

    friend bool operator==(const measured_costs&,
                           const measured_costs&) = default;

private:
    lines_type m_lines{};
};

// Reads the capacity bench's output; a cost that is missing or not a number is
// an error that names it. Lines that the plan does not use are ignored.
result<measured_costs> read_costs(std::string_view text);

// The slopes measured for this release, as the capacity bench wrote them.
std::string_view shipped_costs_text();

} // namespace crowlink
