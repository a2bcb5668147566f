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

// The kind of a request whose kind is not, or no more, in the document.
constexpr kind_index no_kind = ~kind_index{0};

enum class job_state : std::uint8_t
{
    // Not all of its parts are here.
    receiving,
    queued,
    running,
};

// One request from its first part until its answer.
struct job
{
    std::uint64_t number = 0;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    request_id id;
    std::uint32_t attempt = 1;
    // The flow that its latest part came on; answers go there.
    flow_key flow;
    kind_index kind = no_kind;
    std::uint32_t weight = 1;
    time_point deadline{};
    job_state state = job_state::receiving;
    part_assembly assembly;
    std::string body;
    // Its share of the limit on body bytes.
    std::size_t charged_bytes = 0;
    time_point started{};
    // Whether the upstream was asked to stop it.
    bool cancel_sent = false;
};

} // namespace crowlink::internal
