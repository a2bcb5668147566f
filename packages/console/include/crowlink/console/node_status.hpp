#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// One node as control last heard of it.
struct node_status
{
    host_id host;
    // Its roles, such as "balancer" or "agent".
    std::string role;
    // The version that is in force there.
    config_version version;
    // Time since it was last heard.
    duration age{};

    friend auto operator<=>(const node_status&, const node_status&) = default;
};

} // namespace crowlink
