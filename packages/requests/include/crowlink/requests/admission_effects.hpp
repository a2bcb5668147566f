#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/requests/answer_reason.hpp"
#include "crowlink/requests/request_id.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

// A datagram to send to the caller of a flow.
struct admission_datagram
{
    flow_key flow;
    std::string bytes;

    friend auto operator<=>(const admission_datagram&,
                            const admission_datagram&) = default;
};

// The kinds of decision about a request. Each decision is logged as one line.
enum class admission_step : std::uint8_t
{
    queued,
    started,
    ended,
    refused,
};

struct admission_decision
{
    admission_step step = admission_step::queued;
    flow_key flow;
    request_id id;
    std::string kind;
    answer_reason reason = answer_reason::answered;

    friend auto operator<=>(const admission_decision&,
                            const admission_decision&) = default;
};

// Actions requested by a request_admission. Its owner performs them in order
// and clears the structure.
struct admission_effects
{
    std::vector<admission_datagram> to_callers;
    std::vector<std::string> to_upstream;
    // Weights of the requests that took and that released a slot, for the
    // agent's count of work in progress.
    std::vector<std::uint32_t> work_started;
    std::vector<std::uint32_t> work_ended;
    std::vector<admission_decision> decisions;

    friend bool operator==(const admission_effects&,
                           const admission_effects&) = default;
};

} // namespace crowlink
