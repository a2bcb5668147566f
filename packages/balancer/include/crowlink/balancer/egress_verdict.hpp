#pragma once

#include <cstdint>

namespace crowlink
{

// What becomes of a packet that is offered to the egress scheduler.
enum class egress_verdict : std::uint8_t
{
    // To be sent in the same call.
    send_now,
    // Copied; `egress_scheduler::take` yields it later.
    queued,
    dropped,
    // Not sent; its caller is to be told at once that the flow was refused.
    refused,
};

} // namespace crowlink
