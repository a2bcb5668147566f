#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace crowlink
{

// How an agent hands packets to its upstream.
enum class delivery_mode : std::uint8_t
{
    // One connected UDP socket for each flow; the payload alone is delivered.
    plain_datagrams,
    // The whole IP packet in UDP, as the kernel's fou module takes it.
    ip_in_udp,
    // Packets of the users' platform; the agent sends what the upstream sends
    // straight to the callers.
    flow_packets,
};

// Packets of the users' platform, and what an upstream there tells its agent.
struct flow_packet_settings
{
    // Where the upstream sends its packets.
    endpoint outbound;
    // Where callers' hosts take packets, at each caller's own address.
    std::uint16_t caller_port = 0;
    // Where the upstream announces itself.
    endpoint announcements;
    // Where an upstream answers for its health, and names itself; empty where
    // the agent must not ask.
    std::string health_path;
    // So much work for each slot, what runs included, keeps new flows out; 0
    // sets no bound. With 30 to 40 ms of work, 4 take 120 to 160 ms, which is
    // what callers wait for on time.
    std::uint32_t work_per_slot = 4;
    // An upstream that is silent for so long has ended.
    std::uint32_t silent_after_ms = 4000;
    // Flows without any packet for so long are closed.
    std::uint32_t idle_seconds = 60;

    friend auto operator<=>(const flow_packet_settings&,
                            const flow_packet_settings&) = default;
};

// The agent role, for one upstream.
struct agent_role_settings
{
    // Empty for an upstream that announces itself.
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
    // Present with delivery_mode::flow_packets.
    std::optional<flow_packet_settings> flow_packets{};

    friend auto operator<=>(const agent_role_settings&,
                            const agent_role_settings&) = default;
};

} // namespace crowlink
