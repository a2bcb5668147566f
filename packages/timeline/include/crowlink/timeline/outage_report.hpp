#pragma once

#include "crowlink/timeline/outage.hpp"

#include <string>
#include <vector>

namespace crowlink
{

// One table an outage; times in seconds since it began.
std::string to_text(const std::vector<outage>& outages);

// An SVG file: a bar from the first to the last process of each phase and role,
// with a mark at the median.
std::string to_svg(const std::vector<outage>& outages);

} // namespace crowlink
