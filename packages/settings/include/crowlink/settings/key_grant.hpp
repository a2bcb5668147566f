#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/settings/node_role.hpp"

#include <algorithm>
#include <compare>
#include <string>
#include <vector>

namespace crowlink
{

// What the holder of one CURVE key is allowed.
struct key_grant
{
    // Z85, 40 characters.
    std::string public_key;
    // The host that holds the key, for logs.
    host_id holder;
    std::vector<node_role> roles;
    // Which services an agent may announce upstreams for.
    std::vector<service_id> services;
    // A revoked key stays in the file, so that its use is told from that of a
    // stranger's.
    bool revoked = false;

    bool allows(node_role role) const
    {
        return !revoked &&
               std::find(roles.begin(), roles.end(), role) != roles.end();
    }

    bool allows(service_id service) const
    {
        return allows(node_role::agent_node) &&
               std::find(services.begin(), services.end(), service) !=
                   services.end();
    }

    friend auto operator<=>(const key_grant&, const key_grant&) = default;
};

} // namespace crowlink
