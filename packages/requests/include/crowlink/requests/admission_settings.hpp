#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/model/request_kind.hpp"
#include "crowlink/requests/memory_limits.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace crowlink
{

// How a request_admission behaves; the first two come from the service's
// document.
struct admission_settings
{
    // Requests that the upstream runs at the same time.
    std::uint32_t slots = 4;
    std::vector<request_kind> kinds;
    // Requests that wait for a slot, of all kinds.
    std::size_t queue_limit = 32;
    // A request whose expected wait is longer is refused at once.
    duration max_wait = std::chrono::milliseconds(500);
    // Told to a refused caller at least.
    duration min_retry_after = std::chrono::milliseconds(10);
    // The time that a request of weight 1 is taken to run until one of its
    // kind has been observed.
    duration assumed_run_time = std::chrono::milliseconds(10);
    // Body bytes of requests that have not started.
    std::size_t body_bytes_limit = std::size_t{16} << 20U;
    // How long after its deadline a run without an answer keeps its slot.
    duration abandon_after = std::chrono::seconds(1);
    memory_limits memory;

    friend auto operator<=>(const admission_settings&,
                            const admission_settings&) = default;
};

} // namespace crowlink
