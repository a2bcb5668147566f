#pragma once

#include "experiment.hpp"
#include "report.hpp"

#include <vector>

namespace crowlink::placement
{

// Runs one arm of an experiment.
arm_report run_arm(const experiment& settings, arm mode);

// Runs all arms that the experiment names, side by side on the machine's
// cores; the reports are in the experiment's order.
std::vector<arm_report> run_arms(const experiment& settings);

} // namespace crowlink::placement
