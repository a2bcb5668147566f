#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/model/place.hpp"
#include "crowlink/settings/agent_role_settings.hpp"
#include "crowlink/settings/balancer_role_settings.hpp"
#include "crowlink/settings/control_endpoint.hpp"
#include "crowlink/settings/control_role_settings.hpp"
#include "crowlink/settings/host_settings.hpp"
#include "crowlink/settings/key_settings.hpp"
#include "crowlink/settings/log_settings.hpp"
#include "crowlink/settings/seed_settings.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace crowlink
{

// One daemon's settings. A role runs if its section is there; at least one is.
struct daemon_settings
{
    host_settings host;
    log_settings log;
    std::optional<key_settings> keys;
    // The data centres that orders may name, beside those of the document.
    std::vector<place> data_centres{};
    // Where a node finds control; empty for a daemon with the control role,
    // whose other roles use the control in their own process.
    std::vector<control_endpoint> control_endpoints;
    // Present where control hosts are found by their addresses alone; the
    // endpoints and peers then hold those that the seeds name.
    std::optional<seed_settings> seeds{};
    std::optional<control_role_settings> control;
    std::optional<balancer_role_settings> balancer;
    std::vector<agent_role_settings> agents;
    // Where a host without a disk sends the users' platform's operators on to
    // a control host; none if absent.
    std::optional<endpoint> operator_relay{};
    // Control traffic that one node may send or receive, bytes a second.
    std::uint32_t pacing_bytes_per_second = 8192;
    // Where health, readiness and metrics are served; none if absent.
    std::optional<endpoint> health;
    // Where the users' platform asks whether this host is ready.
    std::optional<endpoint> platform_ready{};
    // Where this node answers others that ask whether its data centre is
    // reached, and the port that it asks at; equal on all hosts. It asks from
    // the port below. None if absent: then leases alone tell.
    std::optional<endpoint> reach_listen{};
    // Whether addresses other than loopback may be used without keys: nobody
    // else can reach this network.
    bool is_network_trusted = false;
    // A lease that is not renewed for so long ends.
    std::uint32_t lease_ms = 6000;

    // Whether this daemon asks control for what is in force.
    bool is_node() const
    {
        return balancer || !agents.empty() || operator_relay;
    }

    friend auto operator<=>(const daemon_settings&,
                            const daemon_settings&) = default;
};

} // namespace crowlink
