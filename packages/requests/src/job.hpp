#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/requests/part_assembly.hpp"
#include "crowlink/requests/queued_work.hpp"
#include "crowlink/requests/request_id.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace crowlink::internal
{

// Kind of a request whose kind is not in the service's document.
constexpr kind_index no_kind = ~kind_index{0};

enum class job_state : std::uint8_t
{
    // Some parts have not arrived yet.
    receiving,
    queued,
    running,
};

// A request from the arrival of its first part until its answer.
struct job
{
    std::uint64_t number = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    request_id id;
    std::uint32_t attempt = 1;
    // The flow of the latest message; answers are sent to it.
    flow_key flow;
    kind_index kind = no_kind;
    std::uint32_t weight = 1;
    time_point deadline{};
    job_state state = job_state::receiving;
    part_assembly assembly;
    std::string body;
    // Bytes counted towards the limit on body bytes.
    std::size_t charged_bytes = 0;
    time_point started{};
    // Whether the upstream was asked to stop the run.
    bool cancel_sent = false;
};

} // namespace crowlink::internal
