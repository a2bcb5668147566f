#pragma once

#include "crowlink/base/time.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// A request as submitted by the application.
struct outgoing_request
{
    std::string kind;
    // Whether the request may run more than once.
    bool idempotent = false;
    // Time from submission until the outcome is due.
    duration deadline = std::chrono::seconds(1);
    std::string body;

    friend auto operator<=>(const outgoing_request&,
                            const outgoing_request&) = default;
};

} // namespace crowlink
