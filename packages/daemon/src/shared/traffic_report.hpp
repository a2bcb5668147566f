#pragma once

#include "crowlink/base/metrics.hpp"
#include "shared/snapshot_slot.hpp"

#include <chrono>

namespace crowlink::internal
{

// What a traffic thread tells the others from time to time.
using metrics_slot = snapshot_slot<metrics>;

// How often a traffic thread publishes its counts.
constexpr std::chrono::milliseconds report_interval(500);

} // namespace crowlink::internal
