#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink
{

// What a balancer with this host's view would do with a flow.
struct explain_answer
{
    flow_key flow;
    service_id service;
    std::string service_name;
    // The content number of the forwarding table.
    std::uint64_t table = 0;
    config_version version;
    // The upstreams asked in turn.
    std::vector<upstream_id> chain;
    // Those by the table before; empty if it is equal.
    std::vector<upstream_id> previous_chain;

    friend auto operator<=>(const explain_answer&,
                            const explain_answer&) = default;
};

} // namespace crowlink
