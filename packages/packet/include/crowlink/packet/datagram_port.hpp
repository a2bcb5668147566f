#pragma once

#include "crowlink/packet/caller_port.hpp"

namespace crowlink
{

// Plain datagrams of UDP services: a socket at the service's address receives
// them, and answers leave from there. Needs no privilege.
class datagram_port
{
public:
    // Whether a caller can be refused by the flow alone, without its packet.
    static constexpr bool refuses_by_flow = false;

    tl::expected<caller_packet, packet_drop>
    parse(const received_datagram& received) const;

    tl::expected<outgoing_datagram, packet_drop>
    answer(const flow_key& flow, std::span<const std::uint8_t> payload,
           std::span<std::uint8_t> buffer) const;

    // Always not_expressible: a UDP socket can't send an ICMP message.
    tl::expected<outgoing_datagram, packet_drop>
    refuse(const refusal& refused, std::span<std::uint8_t> buffer) const;
};

static_assert(caller_port<datagram_port>,
              "plain datagrams must satisfy the port concept");

} // namespace crowlink
