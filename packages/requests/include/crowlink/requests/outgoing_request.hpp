#pragma once

#include "crowlink/base/time.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// A request as a client hands it to the caller's library.
struct outgoing_request
{
    std::string kind;
    // Whether it may run more than once.
    bool idempotent = false;
    // The time from now by which its outcome must be known.
    duration deadline = std::chrono::seconds(1);
    std::string body;

    friend auto operator<=>(const outgoing_request&,
                            const outgoing_request&) = default;
};

} // namespace crowlink
