#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace crowlink::internal
{

// One step of a request that passed by, for the log.
struct passing_request
{
    flow_key flow;
    std::string id;
    // Present once the upstream answered.
    std::optional<std::uint16_t> status;
    // From the request's first packet to the answer's.
    duration took{};
    // The flow ended without an answer.
    bool is_broken_off = false;
    // Requests at the upstream, this one included or no more.
    std::uint32_t work = 0;
};

} // namespace crowlink::internal
