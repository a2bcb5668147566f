#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/caller_effects.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace crowlink
{

// How a request_caller behaves.
struct caller_settings
{
    // The flows that it keeps to the service.
    path_index paths = 2;
    // Requests without an outcome at one time; one more is refused at once.
    std::size_t outstanding_limit = 1024;
    // Resends and retries, as a fraction of fresh requests, and how many may
    // be saved up.
    double retry_ratio = 0.1;
    double retry_burst = 10;
    // Attempts of one request, each under its own ticket and sequence.
    std::uint32_t attempt_limit = 4;
    // Sends of one attempt. An idempotent request goes elsewhere after two.
    std::uint32_t send_limit = 6;
    // Unanswered for this long, an attempt is sent again; doubles each time.
    // Longer where answers were observed to take longer.
    duration resend_after = std::chrono::milliseconds(50);
    // The least wait after a refusal; doubles with each attempt.
    duration backoff = std::chrono::milliseconds(5);
    // How long a cancelled request waits for the agent's word.
    duration cancel_timeout = std::chrono::milliseconds(100);
    // A path that heard nothing for this long asks again before it sends a
    // request that is not idempotent.
    duration ticket_validity = std::chrono::seconds(2);

    friend auto operator<=>(const caller_settings&,
                            const caller_settings&) = default;
};

} // namespace crowlink
