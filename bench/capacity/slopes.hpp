#pragma once

#include "measured_slope.hpp"

#include <vector>

namespace crowlink::capacity
{

// The slopes of each role, each in a file of its own.
std::vector<measured_slope> balancer_slopes(const effort& limit);
std::vector<measured_slope> packet_io_slopes(const effort& limit);
std::vector<measured_slope> agent_slopes(const effort& limit);
std::vector<measured_slope> voter_slopes(const effort& limit);
std::vector<measured_slope> observer_slopes(const effort& limit);
std::vector<measured_slope> node_slopes(const effort& limit);

} // namespace crowlink::capacity
