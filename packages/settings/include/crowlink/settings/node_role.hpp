#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// What a process may be towards control.
enum class node_role : std::uint8_t
{
    control_node,
    balancer_node,
    agent_node,
};

constexpr std::string_view to_string(node_role role)
{
    switch (role)
    {
    case node_role::control_node:
        return "control";
    case node_role::balancer_node:
        return "balancer";
    case node_role::agent_node:
        return "agent";
    }
    return "unknown";
}

} // namespace crowlink
