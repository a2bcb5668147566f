#pragma once

#include "experiment.hpp"

#include "crowlink/base/random.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crowlink::placement
{

// A caller that will open a flow.
struct arrival
{
    duration at{};
    std::size_t service = 0;
    duration lifetime{};
};

// All arrivals of an experiment in order of time, drawn from its seed: the
// same ones for every arm. The flows that are open in the steady state arrive
// first, within the first tenth of the warm-up, with what is left of their
// lifetimes.
std::vector<arrival> draw_arrivals(const experiment& settings);

} // namespace crowlink::placement
