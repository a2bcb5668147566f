#pragma once

#include "crowlink/packet/caller_port.hpp"

namespace crowlink
{

// IP packets in UDP, as the kernel's fou device sends and takes them: the
// payload of a datagram is an IPv4 or IPv6 packet with TCP or UDP inside.
// Answers go to the fabric's gateway, which unwraps them.
class ip_in_udp_port
{
public:
    // Whether a caller can be refused by the flow alone, without its packet.
    static constexpr bool refuses_by_flow = false;

    // Both ends of the tunnel: this host's socket and the fabric's gateway.
    ip_in_udp_port(const endpoint& local, const endpoint& gateway)
        : m_local(local), m_gateway(gateway)
    {
    }

    tl::expected<caller_packet, packet_drop>
    parse(const received_datagram& received) const;

    // For UDP, wraps the payload into an IP packet from the service to the
    // caller; for TCP, the payload is that packet already and is checked.
    tl::expected<outgoing_datagram, packet_drop>
    answer(const flow_key& flow, std::span<const std::uint8_t> payload,
           std::span<std::uint8_t> buffer) const;

    // For TCP a RST segment; for UDP an ICMP port unreachable message.
    tl::expected<outgoing_datagram, packet_drop>
    refuse(const refusal& refused, std::span<std::uint8_t> buffer) const;

private:
    endpoint m_local;
    endpoint m_gateway;
};

static_assert(caller_port<ip_in_udp_port>,
              "IP in UDP must satisfy the port concept");

} // namespace crowlink
