#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace crowlink
{

// How callers' packets reach a balancer.
enum class port_mode : std::uint8_t
{
    // Whole datagrams of UDP services, on the services' own addresses.
    plain_datagrams,
    // IP packets in UDP, as the kernel's fou module encapsulates them.
    ip_in_udp,
    // Packets of the users' platform; see the platform folder.
    flow_packets,
};

// The balancer role: takes callers' packets and sends them to agents.
struct balancer_role_settings
{
    port_mode mode = port_mode::ip_in_udp;
    // Where packets arrive. In datagram mode each is a service's address.
    std::vector<endpoint> listen;
    // Where agents send answers, and where packets to agents come from.
    endpoint tunnel;
    // In ip_in_udp mode, where packets for callers are sent.
    endpoint gateway;
    // Traffic threads; each has sockets of its own on the same addresses.
    std::uint32_t threads = 1;

    friend auto operator<=>(const balancer_role_settings&,
                            const balancer_role_settings&) = default;
};

} // namespace crowlink
