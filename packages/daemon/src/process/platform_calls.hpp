#pragma once

#include "crowlink/platform/http_port.hpp"
#include "crowlink/settings/daemon_settings.hpp"

namespace crowlink::internal
{

class agent_role;
class control_thread;

// What the users' platform may call at a control host. The thread and the
// settings must outlive the calls.
platform::http_calls operator_calls(control_thread& control,
                                    const daemon_settings& settings);

// What the users' platform may call at a host that relays operators to
// control. The thread must outlive the calls.
platform::http_calls relay_calls(control_thread& control);

// What an upstream may call at its agent, which must outlive the calls.
platform::http_calls upstream_calls(agent_role& agent);

} // namespace crowlink::internal
