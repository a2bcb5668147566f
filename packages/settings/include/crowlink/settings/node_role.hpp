#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// What a process may be towards control.
enum class node_role : std::uint8_t
{
    control,
    balancer,
    agent,
};

constexpr std::string_view to_string(node_role role)
{
    switch (role)
    {
    case node_role::control:
        return "control";
    case node_role::balancer:
        return "balancer";
    case node_role::agent:
        return "agent";
    }
    return "unknown";
}

} // namespace crowlink
