#include "crowlink/packet/datagram_port.hpp"

namespace crowlink
{

tl::expected<caller_packet, packet_drop>
datagram_port::parse(const received_datagram& received) const
{
    // A caller without a port can't be answered.
    if (received.from.port == 0)
    {
        return tl::unexpected(packet_drop::malformed);
    }
    return caller_packet{flow_key{received.from, received.to, transport::udp},
                         packet_role::any, received.bytes};
}

tl::expected<outgoing_datagram, packet_drop>
datagram_port::answer(const flow_key& flow,
                      std::span<const std::uint8_t> payload,
                      std::span<std::uint8_t>) const
{
    if (flow.protocol != transport::udp)
    {
        return tl::unexpected(packet_drop::unsupported);
    }
    return outgoing_datagram{flow.service, flow.caller, payload};
}

tl::expected<outgoing_datagram, packet_drop>
datagram_port::refuse(const refusal&, std::span<std::uint8_t>) const
{
    return tl::unexpected(packet_drop::not_expressible);
}

} // namespace crowlink
