#pragma once

#include <nlohmann/json.hpp>

namespace crowlink::bench
{

// Runs the bad days in simulated time and yields what they cost and how long
// they took until every watched node knew.
nlohmann::json run_scenarios(bool short_form);

} // namespace crowlink::bench
