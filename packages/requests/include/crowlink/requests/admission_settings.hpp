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

// Settings of a request_admission. The first two come from the service's
// document.
struct admission_settings
{
    // Maximum number of requests that the upstream runs concurrently.
    std::uint32_t slots = 4;
    std::vector<request_kind> kinds;
    // Maximum number of queued requests over all kinds.
    std::size_t queue_limit = 32;
    // A request with a longer expected wait is refused immediately.
    duration max_wait = std::chrono::milliseconds(500);
    // Lower bound of the retry delay sent with a refusal.
    duration min_retry_after = std::chrono::milliseconds(10);
    // Assumed run time per unit of weight until a run of the kind has been
    // observed.
    duration assumed_run_time = std::chrono::milliseconds(10);
    // Maximum body bytes of requests that have not started.
    std::size_t body_bytes_limit = std::size_t{16} << 20U;
    // Time after its deadline for which an unanswered run keeps its slot.
    duration abandon_after = std::chrono::seconds(1);
    memory_limits memory;

    friend auto operator<=>(const admission_settings&,
                            const admission_settings&) = default;
};

} // namespace crowlink
