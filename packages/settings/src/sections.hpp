#pragma once

#include "crowlink/settings/daemon_settings.hpp"

#include <string>

namespace crowlink::internal
{

class object_reader;

// Reads each section of the file; errors go to the reader.
host_settings read_host(object_reader& reader);
log_settings read_log(object_reader& reader);
key_settings read_keys(object_reader& reader);
control_endpoint read_control_endpoint(object_reader& reader);
control_role_settings read_control(object_reader& reader);
balancer_role_settings read_balancer(object_reader& reader);
agent_role_settings read_agent(object_reader& reader);

// Reads the whole file, then checks the rules across its sections.
daemon_settings read_daemon(object_reader& reader);

} // namespace crowlink::internal
