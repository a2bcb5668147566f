#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/ticket.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace crowlink
{

// The agent's answer to `open_session`. If there is no ticket and the agent is
// not draining, its memory is full and the caller may retry after
// `retry_after`.
struct session_opened
{
    std::uint64_t secret = 0;
    std::optional<ticket> granted;
    duration retry_after{};
    // The agent accepts no new work; the caller should open another flow.
    bool draining = false;

    friend auto operator<=>(const session_opened&,
                            const session_opened&) = default;
};

} // namespace crowlink
