#pragma once

// The settings module: the file that tells one daemon what it is. It is JSON
// with comments; every field is checked, unknown fields are refused, and all
// errors of a file are reported at once.
//
//   host_settings.hpp          the daemon's host, place and region
//   log_settings.hpp           format, level and limits of the log
//   key_settings.hpp           files that hold the host's keys
//   tls_settings.hpp           certificate and key of the HTTP interface
//   control_peer.hpp           one control host, as another one reaches it
//   control_role_settings.hpp  the control role
//   control_endpoint.hpp       where a node reaches a control host
//   balancer_role_settings.hpp the balancer role
//   agent_role_settings.hpp    the agent role, one for each upstream
//   daemon_settings.hpp        the whole file
//   load.hpp                   reading and checking
//   node_role.hpp              the roles that a key may be allowed
//   key_grant.hpp              what one key is allowed
//   key_grants.hpp             all keys that a control host accepts

#include "crowlink/settings/agent_role_settings.hpp"
#include "crowlink/settings/balancer_role_settings.hpp"
#include "crowlink/settings/control_endpoint.hpp"
#include "crowlink/settings/control_peer.hpp"
#include "crowlink/settings/control_role_settings.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/settings/host_settings.hpp"
#include "crowlink/settings/key_grant.hpp"
#include "crowlink/settings/key_grants.hpp"
#include "crowlink/settings/key_settings.hpp"
#include "crowlink/settings/load.hpp"
#include "crowlink/settings/log_settings.hpp"
#include "crowlink/settings/node_role.hpp"
#include "crowlink/settings/tls_settings.hpp"
