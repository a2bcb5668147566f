#pragma once

#include <nlohmann/json.hpp>

namespace crowlink::bench
{

// Runs the bad days in simulated time and yields what they cost and how long
// they took until every watched node knew. The restart of everything takes ten
// simulated minutes and is left out on request.
nlohmann::json run_scenarios(std::size_t upstreams, bool with_restart);

} // namespace crowlink::bench
