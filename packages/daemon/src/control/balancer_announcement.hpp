#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/membership/balancer_record.hpp"
#include "crowlink/settings/daemon_settings.hpp"

#include <optional>

namespace crowlink::internal
{

// Whether this host's balancer decides with the others of its data centre who
// takes part in the rotation. They need each other's capacities for that.
bool shares_rotation(const daemon_settings& settings);

// The record that this host's balancer announces, if any.
std::optional<balancer_record>
announced_balancer(const daemon_settings& settings, const endpoint& tunnel);

} // namespace crowlink::internal
