#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/settings/key_grants.hpp"
#include "crowlink/transport/curve_key_pair.hpp"
#include "crowlink/wire/key_ring.hpp"

#include <optional>

namespace crowlink::internal
{

// The keys of one daemon, read from their files.
struct identity
{
    // Absent where keys are not in use.
    std::optional<curve_key_pair> pair;
    key_grants grants;
    key_ring packet_keys;
};

// Reads every key file that the settings name.
result<identity> load_identity(const daemon_settings& settings);

// The name of a process in its role as a node. A control host has its own name
// as such already.
host_id node_name(const daemon_settings& settings);

// The host that a node's name belongs to.
host_id host_of(const host_id& node);

} // namespace crowlink::internal
