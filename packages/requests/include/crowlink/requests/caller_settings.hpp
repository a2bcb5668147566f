#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/caller_effects.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

// Settings of a request_caller.
struct caller_settings
{
    // Number of flows to the service.
    path_index paths = 2;
    // Maximum number of outstanding requests; any further request is refused
    // immediately.
    std::size_t outstanding_limit = 1024;
    // Resends and retries allowed per new request, and the maximum number of
    // unused ones that accumulate.
    double retry_ratio = 0.1;
    double retry_burst = 10;
    // Maximum attempts per request. Each attempt has its own sequence.
    std::uint32_t attempt_limit = 4;
    // Maximum sends per attempt. An idempotent request tries another path after
    // two.
    std::uint32_t send_limit = 6;
    // Initial resend timeout of an attempt, doubled with each send. It is
    // longer if the observed response times are longer.
    duration resend_after = std::chrono::milliseconds(50);
    // Base delay of a retry after a refusal, doubled with each attempt.
    duration backoff = std::chrono::milliseconds(5);
    // Time for which a cancelled request waits for the agent's confirmation.
    duration cancel_timeout = std::chrono::milliseconds(100);
    // Time after its last confirmation for which a ticket is used without a new
    // confirmation. Applies to requests that are not idempotent.
    duration ticket_validity = std::chrono::seconds(2);

    friend auto operator<=>(const caller_settings&,
                            const caller_settings&) = default;
};

} // namespace crowlink
