#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// How an agent hands packets to its upstream.
enum class delivery_mode : std::uint8_t
{
    // One connected UDP socket for each flow; the payload alone is delivered.
    plain_datagrams,
    // The whole IP packet in UDP, as the kernel's fou module takes it.
    ip_in_udp,
};

// The agent role, for one upstream.
struct agent_role_settings
{
    upstream_id upstream;
    service_id service;
    // Where the upstream takes what is delivered.
    endpoint upstream_address;
    delivery_mode delivery = delivery_mode::plain_datagrams;
    // The upstream's share relative to others of its service, 1 to 1000.
    std::uint32_t weight = 100;
    // Where balancers and other agents send packets.
    endpoint tunnel;
    // How long a leaving agent keeps flows that do not end by themselves.
    std::uint32_t drain_seconds = 60;

    friend auto operator<=>(const agent_role_settings&,
                            const agent_role_settings&) = default;
};

} // namespace crowlink
