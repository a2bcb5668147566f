#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/plan/cost.hpp"
#include "crowlink/plan/cost_line.hpp"

#include <array>
#include <string_view>

namespace crowlink
{

// The linear function of each cost.
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

// Reads the output of the capacity bench. A cost that is missing or not numeric
// is an error with the name of the cost. Costs that the plan does not use are
// ignored.
result<measured_costs> read_costs(std::string_view text);

// The costs measured for this release: the embedded output of the capacity
// bench.
std::string_view shipped_costs_text();

} // namespace crowlink
